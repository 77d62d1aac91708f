package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.CloudClient.ListedMachine;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the fleet with the cloud's list of machines: adopts machines that belong to no known scale-out request,
 * drains failed machines, and removes machines that no longer exist. Runs on the event loop; the fleet is changed under
 * the cluster lock.
 */
final class CloudListReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CloudListReconciler.class);
    private static final long MIN_LIST_PAUSE_MICROS = 5_000_000;
    /**
     * Pause between two lists as a multiple of the duration of the last one: a long list uses up many requests of the
     * cloud's rate limit.
     */
    private static final long LIST_PAUSE_FACTOR = 2;

    /** Age from which an unknown machine is adopted even though scale-out requests are pending. */
    private static final long MAX_PENDING_REQUEST_MICROS = 30_000_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final FleetRegistry registry;
    private final long listLagMicros;
    private final FleetCallbacks callbacks;
    /** Listed machines of no known scale-out request, with the request time of the list that first contained them. */
    private final Map<String, Long> unknownMachines = new HashMap<>();

    private long listedMicros = Long.MIN_VALUE / 2;
    private long listPauseMicros = MIN_LIST_PAUSE_MICROS;
    private boolean isListing;

    /** @param listLagMicros the usual replication lag of the cloud's machine list */
    CloudListReconciler(
            EventLoop eventLoop,
            Cluster cluster,
            CloudClient cloud,
            FleetRegistry registry,
            long listLagMicros,
            FleetCallbacks callbacks) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.cloud = cloud;
        this.registry = registry;
        this.listLagMicros = listLagMicros;
        this.callbacks = callbacks;
    }

    /** Requests the list unless a request is pending or the last list is recent. */
    void listIfDue(long nowMicros) {
        if (!isListing && nowMicros - listedMicros > listPauseMicros) {
            list();
        }
    }

    private void list() {
        isListing = true;
        long requestedMicros = eventLoop.nowMicros();
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        cloud.listMachines(),
                        "the machine list of the cloud",
                        response -> {
                            endListing(requestedMicros);
                            if (response.outcome() == Outcome.OK) {
                                synchronized (cluster) {
                                    reconcile(response.machines(), requestedMicros);
                                }
                            }
                        },
                        () -> endListing(requestedMicros));
    }

    private void endListing(long requestedMicros) {
        isListing = false;
        listedMicros = eventLoop.nowMicros();
        listPauseMicros = Math.max(MIN_LIST_PAUSE_MICROS, LIST_PAUSE_FACTOR * (listedMicros - requestedMicros));
    }

    private void reconcile(List<ListedMachine> listed, long requestedMicros) {
        Set<String> listedNames = new HashSet<>();
        for (ListedMachine entry : listed) {
            listedNames.add(entry.name());
            Machine machine = cluster.machine(entry.name());
            if (machine == null) {
                adoptIfUnknown(entry, requestedMicros);
            } else {
                unknownMachines.remove(entry.name());
                updateListed(machine, entry);
            }
        }
        removeUnlisted(listedNames, requestedMicros);
        unknownMachines.keySet().retainAll(listedNames);
    }

    private void updateListed(Machine machine, ListedMachine entry) {
        machine.recordListed(eventLoop.nowMicros());
        machine.updateAddress(entry.address());
        if (entry.hasFailed()) {
            LOG.info("the cloud lists machine {} as failed", machine.name());
            callbacks.clearTasks(machine);
            machine.drain();
        }
    }

    private void removeUnlisted(Set<String> listedNames, long requestedMicros) {
        long minAgeMicros = 2 * listLagMicros + 1_000_000;
        for (Machine machine : List.copyOf(cluster.machines())) {
            // Lists lag behind and may arrive out of order. An unlisted machine is removed only if the list was
            // requested long enough after the machine was first listed.
            if (!listedNames.contains(machine.name())
                    && machine.firstListedMicros() >= 0
                    && requestedMicros > machine.firstListedMicros() + minAgeMicros
                    && machine.state() != Machine.State.RETURNING) {
                LOG.info("machine {} is no longer in the cloud's machine list", machine.name());
                registry.remove(machine);
            }
        }
    }

    private void adoptIfUnknown(ListedMachine entry, long requestedMicros) {
        if (registry.wasReturned(entry.name())) {
            return;
        }
        // The machine may belong to a scale-out request whose response is pending, so it is adopted at the earliest
        // when a second list contains it.
        Long firstRequestedMicros = unknownMachines.putIfAbsent(entry.name(), requestedMicros);
        boolean isRequestPending =
                registry.scaleOutRequests().stream().anyMatch(scaleOutRequest -> !scaleOutRequest.isAnswered());
        if (firstRequestedMicros == null
                || isRequestPending && requestedMicros - firstRequestedMicros < MAX_PENDING_REQUEST_MICROS) {
            return;
        }
        Optional<Machine> adopted =
                registry.adoptMachine(entry.name(), entry.machineType(), entry.zone(), entry.isSpot());
        if (adopted.isPresent()) {
            Machine machine = adopted.get();
            machine.updateAddress(entry.address());
            machine.recordListed(requestedMicros);
            if (entry.hasFailed()) {
                machine.drain();
            }
        }
    }
}
