package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.http.EventLoop;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.WriteQueue;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents, follows and returns machines while this controller holds the lease. */
public final class FleetManager {
    private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final WriteQueue writeQueue;
    private final BooleanSupplier mayAct;
    private final FleetRegistry registry;
    private final ScaleInPolicy scaleInPolicy;
    private final CloudListReconciler cloudListReconciler;
    private final ScaleOut scaleOut;
    private final Set<ScaleOutRequest> requestsWithMachinesDown = new LinkedHashSet<>();
    private boolean isReturnPending;

    /**
     * @param mayAct true while rentals and returns are allowed
     * @param undisturbed true if no worker has had to look for another controller lately
     */
    public FleetManager(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            CloudClient cloud,
            WriteQueue writeQueue,
            Settings settings,
            OperatorProperties operator,
            FleetCapacity fleetCapacity,
            CapacityPlanner capacity,
            Supplier<Map<String, MachineType>> types,
            BooleanSupplier mayAct,
            BooleanSupplier undisturbed,
            Consumer<Machine> clear) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.cloud = cloud;
        this.writeQueue = writeQueue;
        this.mayAct = mayAct;
        this.registry = new FleetRegistry(
                eventLoop, term, cluster, writeQueue, settings.state().values(), types, clear);
        this.scaleInPolicy = new ScaleInPolicy(
                eventLoop, cluster, settings.workers(), operator, capacity, FleetThresholds.of(settings), undisturbed);
        this.cloudListReconciler = new CloudListReconciler(
                eventLoop, cluster, cloud, registry, settings.cloud().listLagMicros(), clear);
        this.scaleOut = new ScaleOut(
                eventLoop,
                cluster,
                cloud,
                writeQueue,
                registry,
                capacity,
                fleetCapacity,
                types,
                mayAct,
                settings.state().maxTransactionChanges());
    }

    /** Takes over a stored rental; its machines may run tasks of an earlier leader until the bound. */
    public void inherit(ScaleOutRequest scaleOutRequest, long aliveUntilMicros) {
        registry.inherit(scaleOutRequest, aliveUntilMicros);
    }

    public boolean wasReturned(String machine) {
        return registry.wasReturned(machine);
    }

    /** A machine has reported: it is stored as up before it may be given tasks. */
    public void recordMachineUp(Machine machine) {
        if (machine.scaleOutRequest().markUp(machine.name())) {
            writeQueue.enqueue(machine.scaleOutRequest());
        }
    }

    /** A machine was silent for longer than anything could live on it: stored soon, with others of its rental. */
    public void recordMachineDown(Machine machine) {
        if (machine.scaleOutRequest().markDown(machine.name())) {
            requestsWithMachinesDown.add(machine.scaleOutRequest());
        }
    }

    /** A machine that no known rental brought: used from now on, once it is stored. */
    public Machine adopt(String name, String machineType, String zone, boolean spot) {
        return registry.adopt(name, machineType, zone, spot);
    }

    /** Rents, lists and returns machines as needed; called about once a second. */
    public void runCycle() {
        long now = eventLoop.nowMicros();
        synchronized (cluster) {
            scaleInPolicy.drainSurplus(now);
            requestsWithMachinesDown.stream()
                    .filter(scaleOutRequest -> !scaleOutRequest.isDiscarded())
                    .forEach(writeQueue::enqueue);
            requestsWithMachinesDown.clear();
        }
        cloudListReconciler.listIfDue(now);
        returnMachines();
        scaleOut.retryUnanswered(now);
        scaleOut.requestMachines(now);
    }

    /** Returns machines that are leaving and empty, or silent for longer than their tasks can live. */
    private void returnMachines() {
        List<Machine> empty = new ArrayList<>();
        synchronized (cluster) {
            for (Machine machine : cluster.machines()) {
                boolean leaving =
                        machine.state() == Machine.State.DRAINING || machine.state() == Machine.State.RETURNING;
                if (leaving
                        && (machine.isReturnScheduled() || machine.isEmpty())
                        && empty.size() < CloudClient.MAX_MACHINES_PER_RETURN) {
                    empty.add(machine);
                }
            }
        }
        if (empty.isEmpty() || isReturnPending || !mayAct.getAsBoolean()) {
            return;
        }
        isReturnPending = true;
        List<String> machines = empty.stream().map(Machine::name).toList();
        empty.forEach(Machine::markReturning);
        cloud.returnMachines(machines).thenAccept(outcome -> {
            isReturnPending = false;
            if (outcome == Outcome.OK) {
                synchronized (cluster) {
                    empty.forEach(registry::remove);
                }
                LOG.info("returned {}", machines);
            }
        });
    }
}
