package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.UnexpectedErrors;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns drained machines to the cloud, one request at a time. Runs on the event loop. */
final class MachineReturner {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReturner.class);

    private final UnexpectedErrors errors;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final FleetRegistry registry;
    private final FleetCallbacks callbacks;
    private boolean isReturnPending;

    MachineReturner(
            UnexpectedErrors errors,
            Cluster cluster,
            CloudClient cloud,
            FleetRegistry registry,
            FleetCallbacks callbacks) {
        this.errors = errors;
        this.cluster = cluster;
        this.cloud = cloud;
        this.registry = registry;
        this.callbacks = callbacks;
    }

    /**
     * Returns drained machines without tasks, and machines whose return is scheduled even if they have tasks. A request
     * whose outcome is unknown is retried by a later call.
     */
    void returnDrainedMachines() {
        List<Machine> returnable = findReturnableMachines();
        if (returnable.isEmpty() || isReturnPending || !callbacks.mayLaunchOrScale()) {
            return;
        }
        isReturnPending = true;
        List<String> names = returnable.stream().map(Machine::name).toList();
        returnable.forEach(Machine::markReturning);
        errors.whenDone(
                cloud.returnMachines(names),
                "the return of machines",
                outcome -> {
                    isReturnPending = false;
                    if (outcome == Outcome.OK) {
                        synchronized (cluster) {
                            returnable.forEach(registry::remove);
                        }
                        LOG.info("returned machines {} to the cloud", names);
                    }
                },
                () -> isReturnPending = false);
    }

    private List<Machine> findReturnableMachines() {
        List<Machine> returnable = new ArrayList<>();
        synchronized (cluster) {
            for (Machine machine : cluster.machines()) {
                if (isReturnable(machine) && returnable.size() < CloudClient.MAX_MACHINES_PER_RETURN) {
                    returnable.add(machine);
                }
            }
        }
        return returnable;
    }

    private static boolean isReturnable(Machine machine) {
        boolean isLeaving = machine.state() == Machine.State.DRAINING || machine.state() == Machine.State.RETURNING;
        return isLeaving && (machine.isReturnScheduled() || machine.isEmpty());
    }
}
