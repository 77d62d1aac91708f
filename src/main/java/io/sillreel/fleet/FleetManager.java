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

/**
 * Scales the fleet out and in and manages the life cycle of its machines during one leadership term. Methods that take
 * a machine or a request are called under the cluster lock.
 */
public final class FleetManager {
    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final FleetRegistry registry;
    private final ScaleInPolicy scaleInPolicy;
    private final CloudListReconciler cloudListReconciler;
    private final MachineReturner machineReturner;
    private final ScaleOut scaleOut;
    /**
     * Requests with machines that have gone down since the request was last queued for writing. Guarded by the cluster
     * lock.
     */
    private final Set<ScaleOutRequest> requestsWithMachinesDown = new LinkedHashSet<>();

    /** Creates a manager for a new term, with an empty fleet. */
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
        this.machineReturner = new MachineReturner(eventLoop.unexpectedErrors(), cluster, cloud, registry, callbacks);
        this.scaleOut = new ScaleOut(
                eventLoop, cluster, cloud, writeQueue, registry, capacityPlanner, configuration, callbacks);
    }

    /** Restores a stored request. Its machines may run tasks of an earlier term until the given time. */
    public void inherit(ScaleOutRequest scaleOutRequest, long aliveUntilMicros) {
        registry.inherit(scaleOutRequest, aliveUntilMicros);
    }

    /** True if the machine was returned within the last hour; heartbeats that still arrive from it are stale. */
    public boolean wasReturned(String machine) {
        return registry.wasReturned(machine);
    }

    /** Records that the machine sends heartbeats. It is given no tasks before it is stored as up. */
    public void markMachineUp(Machine machine) {
        if (machine.scaleOutRequest().markUp(machine.name())) {
            writeQueue.enqueue(machine.scaleOutRequest());
        }
    }

    /** Records that the machine's lease has expired. The next cycle stores this with one write per request. */
    public void markMachineDown(Machine machine) {
        if (machine.scaleOutRequest().markDown(machine.name())) {
            requestsWithMachinesDown.add(machine.scaleOutRequest());
        }
    }

    /** Adopts a machine that belongs to no known request. Returns empty if the cloud does not offer its type. */
    public Optional<Machine> adoptMachine(String name, String machineType, String zone, boolean isSpot) {
        return registry.adoptMachine(name, machineType, zone, isSpot);
    }

    /**
     * Lists, returns and requests machines as needed. Called about once a second by the event loop, without holding the
     * cluster lock.
     */
    public void runCycle() {
        long nowMicros = eventLoop.nowMicros();
        synchronized (cluster) {
            scaleInPolicy.drainOrReturnMachines(nowMicros);
            storeMachinesDown();
        }
        cloudListReconciler.listIfDue(nowMicros);
        machineReturner.returnDrainedMachines();
        scaleOut.retryUnanswered(nowMicros);
        scaleOut.requestMachines(nowMicros);
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
