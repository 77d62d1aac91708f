package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.http.EventLoop;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.WriteQueue;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** Rents, follows and returns machines while this controller holds the lease. */
public final class FleetManager {
    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final FleetRegistry registry;
    private final ScaleInPolicy scaleInPolicy;
    private final CloudListReconciler cloudListReconciler;
    private final MachineReturner machineReturner;
    private final ScaleOut scaleOut;
    private final Set<ScaleOutRequest> requestsWithMachinesDown = new LinkedHashSet<>();

    /** Creates the manager of a term's fleet, which knows no machine yet. */
    public FleetManager(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            CloudClient cloud,
            WriteQueue writeQueue,
            CapacityPlanner capacityPlanner,
            FleetConfiguration configuration,
            FleetCallbacks callbacks) {
        Settings settings = configuration.settings();
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.registry = new FleetRegistry(
                eventLoop,
                term,
                cluster,
                writeQueue,
                settings.state().values(),
                configuration.machineTypes(),
                callbacks::clearTasks);
        this.scaleInPolicy = new ScaleInPolicy(
                eventLoop,
                cluster,
                settings.workers(),
                configuration.operator(),
                capacityPlanner,
                FleetThresholds.of(settings),
                callbacks);
        this.cloudListReconciler = new CloudListReconciler(
                eventLoop, cluster, cloud, registry, settings.cloud().listLagMicros(), callbacks);
        this.machineReturner = new MachineReturner(cluster, cloud, registry, callbacks);
        this.scaleOut = new ScaleOut(
                eventLoop, cluster, cloud, writeQueue, registry, capacityPlanner, configuration, callbacks);
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
    public Optional<Machine> adopt(String name, String machineType, String zone, boolean spot) {
        return registry.adopt(name, machineType, zone, spot);
    }

    /** Rents, lists and returns machines as needed; called about once a second. */
    public void runCycle() {
        long now = eventLoop.nowMicros();
        synchronized (cluster) {
            scaleInPolicy.drainSurplus(now);
            storeMachinesDown();
        }
        cloudListReconciler.listIfDue(now);
        machineReturner.returnDrainedMachines();
        scaleOut.retryUnanswered(now);
        scaleOut.requestMachines(now);
    }

    private void storeMachinesDown() {
        for (ScaleOutRequest request : requestsWithMachinesDown) {
            if (!request.isDiscarded()) {
                writeQueue.enqueue(request);
            }
        }
        requestsWithMachinesDown.clear();
    }
}
