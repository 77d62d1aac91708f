package io.sillreel.fleet;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.http.EventLoop;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.WriteQueue;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scale-out requests of a term, their machines, and the names of recently returned machines. Guarded by the cluster
 * lock.
 */
final class FleetRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(FleetRegistry.class);

    /** Outlasts heartbeats, which may be delayed by minutes, and the cloud's machine list, which lags by less. */
    private static final long RETURN_RETENTION_MICROS = 3_600_000_000L;

    private final EventLoop eventLoop;
    private final long term;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final ValueLimits limits;
    private final Supplier<Map<String, MachineType>> machineTypes;
    private final Consumer<Machine> clearTasks;
    private final Map<String, ScaleOutRequest> scaleOutRequests = new LinkedHashMap<>();
    /** Return times of recently returned machines, in order of return. */
    private final Map<String, Long> returnTimesMicros = new LinkedHashMap<>();

    private long lastRequestNumber;

    /** @param clearTasks called with a machine on which all tasks are known to have ended */
    FleetRegistry(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            WriteQueue writeQueue,
            ValueLimits limits,
            Supplier<Map<String, MachineType>> machineTypes,
            Consumer<Machine> clearTasks) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.limits = limits;
        this.machineTypes = machineTypes;
        this.clearTasks = clearTasks;
    }

    Collection<ScaleOutRequest> scaleOutRequests() {
        return scaleOutRequests.values();
    }

    /** Returns how many machines fit into the stored form of one request. */
    int maxMachinesPerRequest() {
        return ScaleOutRequest.maxMachines(limits.announcedBytes());
    }

    /** True if the machine was returned within the last hour. */
    boolean wasReturned(String machine) {
        return returnTimesMicros.containsKey(machine);
    }

    /** Returns a request name that is unique across all terms. */
    String nextRequestName() {
        return "r-" + term + "-" + ++lastRequestNumber;
    }

    void add(ScaleOutRequest scaleOutRequest) {
        scaleOutRequests.put(scaleOutRequest.name(), scaleOutRequest);
    }

    /** Discards a request for which the cloud provides no machines. */
    void discard(ScaleOutRequest scaleOutRequest) {
        scaleOutRequest.discard();
        scaleOutRequests.remove(scaleOutRequest.name());
    }

    /** Restores a stored request. Its machines may run tasks of an earlier term until the given time. */
    void inherit(ScaleOutRequest scaleOutRequest, long aliveUntilMicros) {
        int maxMachines = maxMachinesPerRequest();
        if (scaleOutRequest.machines().size() > maxMachines) {
            scaleOutRequest.split(maxMachines, writeQueue::enqueue).forEach(overflow -> {
                inherit(overflow, aliveUntilMicros);
                writeQueue.enqueue(overflow);
            });
        }
        add(scaleOutRequest);
        for (String name : List.copyOf(scaleOutRequest.machines())) {
            MachineType type = machineTypes.get().get(scaleOutRequest.machineType());
            if (cluster.machine(name) != null) {
                // Two requests contain the machine if a split was only partially stored; it is kept in the first one.
                scaleOutRequest.removeMachine(name);
                writeQueue.enqueue(scaleOutRequest);
            } else if (type != null) {
                Machine machine = newMachine(name, type, scaleOutRequest, eventLoop.nowMicros());
                machine.extendLease(aliveUntilMicros);
                cluster.addInherited(machine);
            }
        }
    }

    /**
     * Adopts a machine that belongs to no known request, under a new request of its own. Returns empty if the cloud
     * does not offer its type.
     */
    Optional<Machine> adoptMachine(String name, String machineType, String zone, boolean isSpot) {
        MachineType type = machineTypes.get().get(machineType);
        if (type == null) {
            return Optional.empty();
        }
        ScaleOutRequest scaleOutRequest =
                new ScaleOutRequest("adopted-" + term + "-" + ++lastRequestNumber, machineType, zone, isSpot, 1);
        scaleOutRequest.recordAnswer(List.of(name));
        add(scaleOutRequest);
        LOG.info(
                "adopting machine {} ({}, zone {}), which belongs to no known scale-out request",
                name,
                machineType,
                zone);
        addMachine(name, scaleOutRequest, eventLoop.nowMicros());
        writeQueue.enqueue(scaleOutRequest);
        return Optional.ofNullable(cluster.machine(name));
    }

    /** Adds a machine of the request to the fleet, unless it already exists or its type is unknown. */
    void addMachine(String name, ScaleOutRequest scaleOutRequest, long requestedMicros) {
        MachineType type = machineTypes.get().get(scaleOutRequest.machineType());
        if (type != null && cluster.machine(name) == null) {
            cluster.add(newMachine(name, type, scaleOutRequest, requestedMicros));
        }
    }

    private Machine newMachine(String name, MachineType type, ScaleOutRequest scaleOutRequest, long requestedMicros) {
        return new Machine(
                name,
                type,
                scaleOutRequest.zone(),
                scaleOutRequest.isSpot(),
                scaleOutRequest,
                requestedMicros,
                cluster.allocationIndex());
    }

    private void evictExpiredReturns() {
        long retainedSinceMicros = eventLoop.nowMicros() - RETURN_RETENTION_MICROS;
        Iterator<Long> earliestFirst = returnTimesMicros.values().iterator();
        while (earliestFirst.hasNext() && earliestFirst.next() < retainedSinceMicros) {
            earliestFirst.remove();
        }
    }

    /** Removes a machine that no longer exists, and clears its tasks. */
    void remove(Machine machine) {
        clearTasks.accept(machine);
        cluster.remove(machine);
        returnTimesMicros.put(machine.name(), eventLoop.nowMicros());
        evictExpiredReturns();
        machine.scaleOutRequest().removeMachine(machine.name());
        if (machine.scaleOutRequest().isDiscarded()) {
            scaleOutRequests.remove(machine.scaleOutRequest().name());
        }
        writeQueue.enqueue(machine.scaleOutRequest());
    }
}
