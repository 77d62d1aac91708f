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
    private final ScaleInPolicy retirement;
    private final CloudListReconciler reconciler;
    private final ScaleOut requester;
    private final Set<ScaleOutRequest> machineDown = new LinkedHashSet<>();
    private boolean returning;

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
        this.retirement = new ScaleInPolicy(
                eventLoop, cluster, settings.workers(), operator, capacity, FleetThresholds.of(settings), undisturbed);
        this.reconciler = new CloudListReconciler(
                eventLoop, cluster, cloud, registry, settings.cloud().listLagMicros(), clear);
        this.requester = new ScaleOut(
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

    public boolean isGone(String machine) {
        return registry.wasReturned(machine);
    }

    /** A machine has reported: it is stored as up before it may be given tasks. */
    public void machineUp(Machine machine) {
        if (machine.scaleOutRequest().markUp(machine.name())) {
            writeQueue.enqueue(machine.scaleOutRequest());
        }
    }

    /** A machine was silent for longer than anything could live on it: stored soon, with others of its rental. */
    public void machineDown(Machine machine) {
        if (machine.scaleOutRequest().markDown(machine.name())) {
            machineDown.add(machine.scaleOutRequest());
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
            retirement.drainSurplus(now);
            machineDown.stream()
                    .filter(scaleOutRequest -> !scaleOutRequest.isDiscarded())
                    .forEach(writeQueue::enqueue);
            machineDown.clear();
        }
        reconciler.tick(now);
        returnMachines();
        requester.retryUnanswered(now);
        requester.requestMachines(now);
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
        if (empty.isEmpty() || returning || !mayAct.getAsBoolean()) {
            return;
        }
        returning = true;
        List<String> machines = empty.stream().map(Machine::name).toList();
        empty.forEach(Machine::markReturning);
        cloud.returnMachines(machines).thenAccept(outcome -> {
            returning = false;
            if (outcome == Outcome.OK) {
                synchronized (cluster) {
                    empty.forEach(registry::remove);
                }
                LOG.info("returned {}", machines);
            }
        });
    }
}
