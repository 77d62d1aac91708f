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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests machines from the cloud. Each request is stored under its name before it is sent, and is retried under the
 * same name until its outcome is known, so that it is idempotent. Runs on the event loop; state shared with heartbeat
 * processing is accessed under the cluster lock.
 */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    /** Time during which machines that the cloud had no capacity for are not requested again. */
    private static final long NO_CAPACITY_BACKOFF_MICROS = 20_000_000;
    /** Delay between the end of a request of unknown outcome and its retry. */
    private static final long RETRY_DELAY_MICROS = 2_000_000;
    /** Maximum number of requests that are stored or sent and not answered yet. */
    private static final int MAX_PENDING_REQUESTS = 6;

    private static final long FLEET_LIMIT_WARNING_INTERVAL_MICROS = 60_000_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final WriteQueue writeQueue;
    private final FleetRegistry registry;
    private final CapacityPlanner capacityPlanner;
    private final FleetConfiguration configuration;
    private final FleetCallbacks callbacks;
    private long lastFleetLimitWarningMicros = Long.MIN_VALUE / 2;

    ScaleOut(
            EventLoop eventLoop,
            Cluster cluster,
            CloudClient cloud,
            WriteQueue writeQueue,
            FleetRegistry registry,
            CapacityPlanner capacityPlanner,
            FleetConfiguration configuration,
            FleetCallbacks callbacks) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.cloud = cloud;
        this.writeQueue = writeQueue;
        this.registry = registry;
        this.capacityPlanner = capacityPlanner;
        this.configuration = configuration;
        this.callbacks = callbacks;
    }

    /** Stores and sends requests for what the capacity planner proposes, unless too many urgent writes are queued. */
    void requestMachines(long nowMicros) {
        // A request has to be stored before it is sent, so new ones would only add to a backlog of the write queue.
        if (!callbacks.mayLaunchOrScale()
                || writeQueue.urgentCount() > configuration.settings().state().maxTransactionChanges()) {
            return;
        }
        List<ScaleOutProposal> proposals;
        int headroom;
        synchronized (cluster) {
            PendingRequests pending = pendingRequests();
            if (pending.count() >= MAX_PENDING_REQUESTS) {
                return;
            }
            proposals = capacityPlanner.scaleOutProposals(
                    configuration.allMachineTypes(),
                    pending.cpus(),
                    pending.onDemandCpus(),
                    nowMicros,
                    eventLoop.wallMicros());
            headroom = proposals.isEmpty() ? 0 : machineHeadroom(pending, nowMicros);
        }
        for (ScaleOutProposal proposal : proposals) {
            int count = Math.min(headroom, Math.min(proposal.count(), registry.maxMachinesPerRequest()));
            if (count > 0) {
                headroom -= count;
                storeRequest(proposal, count);
            }
        }
    }

    private void storeRequest(ScaleOutProposal proposal, int count) {
        ScaleOutRequest request = new ScaleOutRequest(
                registry.nextRequestName(), proposal.type().name(), proposal.zone(), proposal.isSpot(), count);
        registry.add(request);
        request.whenStored(() -> sendRequest(request));
        writeQueue.enqueue(request);
    }

    /**
     * Totals of the requests that the cloud has not answered yet: requests, machines, CPUs, and the CPUs of on-demand
     * machines.
     */
    private record PendingRequests(int count, int machines, long cpus, long onDemandCpus) {}

    private PendingRequests pendingRequests() {
        int count = 0;
        int machines = 0;
        long cpus = 0;
        long onDemandCpus = 0;
        for (ScaleOutRequest request : registry.scaleOutRequests()) {
            if (!request.isAnswered()) {
                MachineType type = configuration.machineType(request.machineType());
                long requestedCpus = type == null ? 0 : Math.round(type.cpus() * request.machineCount());
                count++;
                machines += request.machineCount();
                cpus += requestedCpus;
                onDemandCpus += request.isSpot() ? 0 : requestedCpus;
            }
        }
        return new PendingRequests(count, machines, cpus, onDemandCpus);
    }

    /** Returns how many more machines the controllers support. Logs a warning once a minute while there are none. */
    private int machineHeadroom(PendingRequests pending, long nowMicros) {
        int machines = cluster.machines().size();
        long tasks = 0;
        for (Machine machine : cluster.machines()) {
            tasks += machine.allocations().size();
        }
        FleetCapacity fleetCapacity = configuration.fleetCapacity();
        double tasksPerMachine =
                Math.max(FleetCapacity.DEFAULT_TASKS_PER_MACHINE, (double) tasks / Math.max(1, machines));
        int headroom = fleetCapacity.maxMachines(tasksPerMachine) - machines - pending.machines();
        if (headroom <= 0 && nowMicros - lastFleetLimitWarningMicros > FLEET_LIMIT_WARNING_INTERVAL_MICROS) {
            lastFleetLimitWarningMicros = nowMicros;
            LOG.warn(
                    "scale-out is suspended: {} machines exist or are requested, and the controllers support {}",
                    machines + pending.machines(),
                    fleetCapacity.describe(tasksPerMachine));
        }
        return headroom;
    }

    /** Retries requests whose outcome is unknown, and inherited requests without an answer. */
    void retryUnanswered(long nowMicros) {
        for (ScaleOutRequest request : List.copyOf(registry.scaleOutRequests())) {
            if (!request.isAnswered()
                    && !request.isDiscarded()
                    && request.revision() > 0
                    && nowMicros - request.lastSentMicros() > RETRY_DELAY_MICROS + CloudClient.TIMEOUT_MICROS) {
                sendRequest(request);
            }
        }
    }

    private void sendRequest(ScaleOutRequest request) {
        if (!callbacks.mayLaunchOrScale() || request.isAnswered() || request.isDiscarded()) {
            return;
        }
        request.recordSent(eventLoop.nowMicros());
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        cloud.provisionMachines(
                                request.name(),
                                request.machineType(),
                                request.zone(),
                                request.isSpot(),
                                request.machineCount()),
                        "the answer to scale-out request " + request.name(),
                        result -> {
                            synchronized (cluster) {
                                handleResult(request, result);
                            }
                        },
                        request::markPossiblyExecuted);
    }

    private void handleResult(ScaleOutRequest request, CloudClient.ProvisioningResult result) {
        long nowMicros = eventLoop.nowMicros();
        if (request.isAnswered() || request.isDiscarded()) {
            // The request was retried and both attempts were answered. The first answer counts, since its machines may
            // already run tasks.
            return;
        }
        switch (result.outcome()) {
            case OK -> addProvidedMachines(request, result.machines(), nowMicros);
            case NO_CAPACITY -> abandon(request, nowMicros + NO_CAPACITY_BACKOFF_MICROS);
            case REFUSED -> handleRefusal(request, nowMicros);
            default -> {
                LOG.info("outcome of scale-out request {} is unknown, retrying it under the same name", request.name());
                request.markPossiblyExecuted();
                retryWithoutTimeout(request, nowMicros);
            }
        }
    }

    private void addProvidedMachines(ScaleOutRequest request, List<String> providedNames, long nowMicros) {
        LOG.info(
                "scaled out by {} of {} machines of type {} in zone {}{} with scale-out request {}",
                providedNames.size(),
                request.machineCount(),
                request.machineType(),
                request.zone(),
                request.isSpot() ? ", spot" : "",
                request.name());
        List<String> newNames = providedNames.stream()
                .filter(name -> cluster.machine(name) == null && !registry.wasReturned(name))
                .toList();
        request.recordAnswer(newNames);
        newNames.forEach(name -> registry.addMachine(name, request, nowMicros));
        if (providedNames.size() < request.machineCount()) {
            markUnavailable(request, nowMicros + NO_CAPACITY_BACKOFF_MICROS);
        }
        if (newNames.isEmpty()) {
            registry.discard(request);
        }
        writeQueue.enqueue(request);
    }

    private void handleRefusal(ScaleOutRequest request, long nowMicros) {
        if (request.mayHaveExecuted()) {
            retryWithoutTimeout(request, nowMicros);
        } else {
            // The request was certainly not executed; the capacity planner proposes the machines again after the
            // backoff.
            abandon(request, nowMicros + RETRY_DELAY_MICROS);
        }
    }

    /** Discards a request that provides no machines; its offer is not requested again before the given time. */
    private void abandon(ScaleOutRequest request, long unavailableUntilMicros) {
        markUnavailable(request, unavailableUntilMicros);
        registry.discard(request);
        writeQueue.enqueue(request);
    }

    private void markUnavailable(ScaleOutRequest request, long untilMicros) {
        capacityPlanner.markUnavailable(request.machineType(), request.zone(), request.isSpot(), untilMicros);
    }

    /** Schedules a retry after the retry delay alone: the request has ended, so its timeout need not elapse. */
    private static void retryWithoutTimeout(ScaleOutRequest request, long nowMicros) {
        request.recordSent(nowMicros - CloudClient.TIMEOUT_MICROS);
    }
}
