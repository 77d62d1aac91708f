package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.http.EventLoop;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.ScaleOutProposal;
import io.sillreel.statestore.WriteQueue;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines: each rental is stored under its name before the cloud is asked, and asked again under that name. */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    private static final long UNAVAILABLE_MICROS = 20_000_000;
    private static final long RETRY_MICROS = 2_000_000;
    private static final int MAX_OPEN_REQUESTS = 6;
    private static final long FULL_WARNING_INTERVAL_MICROS = 60_000_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final WriteQueue writeQueue;
    private final FleetRegistry registry;
    private final CapacityPlanner capacity;
    private final FleetCapacity fleetCapacity;
    private final Supplier<Map<String, MachineType>> types;
    private final BooleanSupplier mayAct;
    private final int maxTransactionChanges;
    private long lastFullWarningMicros = Long.MIN_VALUE / 2;

    /**
     * @param mayAct true while rentals are allowed
     * @param txnOps changes that fit into one transaction of the state service
     */
    ScaleOut(
            EventLoop eventLoop,
            Cluster cluster,
            CloudClient cloud,
            WriteQueue writeQueue,
            FleetRegistry registry,
            CapacityPlanner capacity,
            FleetCapacity fleetCapacity,
            Supplier<Map<String, MachineType>> types,
            BooleanSupplier mayAct,
            int txnOps) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.cloud = cloud;
        this.writeQueue = writeQueue;
        this.registry = registry;
        this.capacity = capacity;
        this.fleetCapacity = fleetCapacity;
        this.types = types;
        this.mayAct = mayAct;
        this.maxTransactionChanges = txnOps;
    }

    /** Asks for what the capacity planner wants, unless more urgent writes wait. */
    void requestMachines(long now) {
        // A rental is stored before the cloud is asked, so it waits while as urgent writes are behind.
        if (!mayAct.getAsBoolean() || writeQueue.urgentCount() > maxTransactionChanges) {
            return;
        }
        List<ScaleOutProposal> rentalRequests;
        int room;
        synchronized (cluster) {
            OpenRequests open = openRequests();
            if (open.count() >= MAX_OPEN_REQUESTS) {
                return;
            }
            rentalRequests = capacity.scaleOutProposals(
                    types.get().values(), open.cpus(), open.ordinaryCpus(), now, eventLoop.wallMicros());
            room = rentalRequests.isEmpty() ? 0 : machineHeadroom(open, now);
        }
        for (ScaleOutProposal rentalRequest : rentalRequests) {
            int count = Math.min(room, Math.min(rentalRequest.count(), registry.maxMachinesPerRequest()));
            if (count > 0) {
                room -= count;
                storeRequest(rentalRequest, count);
            }
        }
    }

    private void storeRequest(ScaleOutProposal request, int count) {
        ScaleOutRequest scaleOutRequest = new ScaleOutRequest(
                registry.nextRequestName(), request.type().name(), request.zone(), request.isSpot(), count);
        registry.add(scaleOutRequest);
        scaleOutRequest.whenStored(() -> sendRequest(scaleOutRequest));
        writeQueue.enqueue(scaleOutRequest);
    }

    /** Rentals that the cloud has yet to answer: how many, and what they may bring. */
    private record OpenRequests(int count, int machines, long cpus, long ordinaryCpus) {}

    private OpenRequests openRequests() {
        int count = 0;
        int machines = 0;
        long cpus = 0;
        long ordinaryCpus = 0;
        for (ScaleOutRequest scaleOutRequest : registry.scaleOutRequests()) {
            if (!scaleOutRequest.isAnswered()) {
                MachineType type = types.get().get(scaleOutRequest.machineType());
                long each = type == null ? 0 : Math.round(type.cpus() * scaleOutRequest.machineCount());
                count++;
                machines += scaleOutRequest.machineCount();
                cpus += each;
                ordinaryCpus += scaleOutRequest.isSpot() ? 0 : each;
            }
        }
        return new OpenRequests(count, machines, cpus, ordinaryCpus);
    }

    /** How many more machines the controllers can carry; said once a minute while that is none. */
    private int machineHeadroom(OpenRequests open, long now) {
        int machines = cluster.machines().size();
        long tasks = 0;
        for (Machine machine : cluster.machines()) {
            tasks += machine.allocations().size();
        }
        double tasksPerMachine =
                Math.max(FleetCapacity.DEFAULT_TASKS_PER_MACHINE, (double) tasks / Math.max(1, machines));
        int room = fleetCapacity.maxMachines(tasksPerMachine) - machines - open.machines();
        if (room <= 0 && now - lastFullWarningMicros > FULL_WARNING_INTERVAL_MICROS) {
            lastFullWarningMicros = now;
            LOG.warn(
                    "no more machines are rented: {} are there or asked for, and the controllers carry {}",
                    machines + open.machines(),
                    fleetCapacity.describe(tasksPerMachine));
        }
        return room;
    }

    /** Asks once more for what got no answer. */
    void retryUnanswered(long now) {
        for (ScaleOutRequest scaleOutRequest : List.copyOf(registry.scaleOutRequests())) {
            if (!scaleOutRequest.isAnswered()
                    && !scaleOutRequest.isDiscarded()
                    && scaleOutRequest.revision() > 0
                    && now - scaleOutRequest.lastSentMicros() > RETRY_MICROS + CloudClient.TIMEOUT_MICROS) {
                sendRequest(scaleOutRequest);
            }
        }
    }

    private void sendRequest(ScaleOutRequest scaleOutRequest) {
        if (!mayAct.getAsBoolean() || scaleOutRequest.isAnswered() || scaleOutRequest.isDiscarded()) {
            return;
        }
        scaleOutRequest.recordSent(eventLoop.nowMicros());
        cloud.provisionMachines(
                        scaleOutRequest.name(),
                        scaleOutRequest.machineType(),
                        scaleOutRequest.zone(),
                        scaleOutRequest.isSpot(),
                        scaleOutRequest.machineCount())
                .thenAccept(rented -> {
                    synchronized (cluster) {
                        handleResult(scaleOutRequest, rented);
                    }
                });
    }

    private void handleResult(ScaleOutRequest scaleOutRequest, CloudClient.ProvisioningResult rented) {
        long now = eventLoop.nowMicros();
        if (scaleOutRequest.isAnswered() || scaleOutRequest.isDiscarded()) {
            // Asked twice, since an answer seemed lost: the first one counts, and what it brought may be at work.
            return;
        }
        switch (rented.outcome()) {
            case OK -> {
                LOG.info(
                        "rented {} of {} {} in {}{} as {}",
                        rented.machines().size(),
                        scaleOutRequest.machineCount(),
                        scaleOutRequest.machineType(),
                        scaleOutRequest.zone(),
                        scaleOutRequest.isSpot() ? ", spot" : "",
                        scaleOutRequest.name());
                List<String> fresh = rented.machines().stream()
                        .filter(name -> cluster.machine(name) == null && !registry.wasReturned(name))
                        .toList();
                scaleOutRequest.recordAnswer(fresh);
                fresh.forEach(name -> registry.addMachine(name, scaleOutRequest, now));
                if (rented.machines().size() < scaleOutRequest.machineCount()) {
                    capacity.markUnavailable(
                            scaleOutRequest.machineType(),
                            scaleOutRequest.zone(),
                            scaleOutRequest.isSpot(),
                            now + UNAVAILABLE_MICROS);
                }
                if (fresh.isEmpty()) {
                    registry.discard(scaleOutRequest);
                }
                writeQueue.enqueue(scaleOutRequest);
            }
            case NO_CAPACITY -> {
                capacity.markUnavailable(
                        scaleOutRequest.machineType(),
                        scaleOutRequest.zone(),
                        scaleOutRequest.isSpot(),
                        now + UNAVAILABLE_MICROS);
                registry.discard(scaleOutRequest);
                writeQueue.enqueue(scaleOutRequest);
            }
            case REFUSED -> {
                if (scaleOutRequest.mayHaveExecuted()) {
                    scaleOutRequest.recordSent(now - CloudClient.TIMEOUT_MICROS);
                } else {
                    // Surely rented nothing; the request is formed anew when the cloud answers again.
                    capacity.markUnavailable(
                            scaleOutRequest.machineType(),
                            scaleOutRequest.zone(),
                            scaleOutRequest.isSpot(),
                            now + RETRY_MICROS);
                    registry.discard(scaleOutRequest);
                    writeQueue.enqueue(scaleOutRequest);
                }
            }
            default -> {
                LOG.info("the rental {} got no answer, asking again under the same name", scaleOutRequest.name());
                scaleOutRequest.markPossiblyExecuted();
                scaleOutRequest.recordSent(now - CloudClient.TIMEOUT_MICROS);
            }
        }
    }
}
