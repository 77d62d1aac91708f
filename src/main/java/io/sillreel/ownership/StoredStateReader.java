package io.sillreel.ownership;

import io.sillreel.fleet.Rental;
import io.sillreel.ownership.StoredState.StoredJob;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Entry;
import io.sillreel.statestore.StateStore.Listing;
import io.sillreel.statestore.StateStore.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/**
 * Reads the stored state for a new leader. All lists are requested at once: only the leader writes records and rentals,
 * and what becomes of plans and cancellations is watched from the revision at which each list was read.
 */
final class StoredStateReader {
    static final String CANCELLATIONS = "withdraw/";

    private final StateStore store;
    private final int previousVersionChunkTasks;
    private final LongPredicate countsAsDemand;

    /**
     * @param presentValueBytes the largest value by which the previous version cut done sets
     * @param countsAsDemand true for the time of day at which a job was admitted if it still counts as demand
     */
    StoredStateReader(StateStore store, int presentValueBytes, LongPredicate countsAsDemand) {
        this.store = store;
        this.previousVersionChunkTasks = RunRecord.chunkTasks(presentValueBytes);
        this.countsAsDemand = countsAsDemand;
    }

    /** Reads everything; empty if the state service did not answer all of it. */
    CompletableFuture<Optional<StoredState>> read() {
        CompletableFuture<Listing> plans = store.list(PlanRecord.PREFIX);
        CompletableFuture<Listing> runs = store.list(RunRecord.PREFIX);
        CompletableFuture<Listing> cancellations = store.list(CANCELLATIONS);
        CompletableFuture<Listing> rentals = store.list(Rental.PREFIX);
        CompletableFuture<Listing> parts = store.list(RunRecord.partsPrefix());
        List<CompletableFuture<Listing>> all = List.of(plans, runs, cancellations, rentals, parts);
        return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).thenCompose(done -> {
            if (all.stream().anyMatch(list -> list.join().outcome() != Outcome.OK)) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            Set<String> cancelled = new HashSet<>();
            cancellations.join().entries().forEach(entry -> cancelled.add(after(CANCELLATIONS, entry)));
            List<Rental> read = new ArrayList<>();
            rentals.join().entries().forEach(entry -> read.add(Rental.of(entry.key(), entry.value(), entry.stamp())));
            StoredState state = new StoredState(
                    new ArrayList<>(),
                    new HashSet<>(),
                    new ArrayList<>(),
                    new ArrayList<>(),
                    cancelled,
                    read,
                    plans.join().ledger(),
                    cancellations.join().ledger());
            addJobs(state, plans.join(), new Records(runs.join(), parts.join()));
            return complete(state);
        });
    }

    private static String after(String prefix, Entry entry) {
        return entry.key().substring(prefix.length());
    }

    private void addJobs(StoredState state, Listing plans, Records records) {
        List<Entry> inOrder = new ArrayList<>(plans.entries());
        inOrder.sort(Comparator.comparingLong(Entry::stamp));
        for (Entry plan : inOrder) {
            String uid = after(PlanRecord.PREFIX, plan);
            Entry head = records.heads.get(uid);
            RunRecord.StoredParts pieces = records.pieces.getOrDefault(uid, RunRecord.StoredParts.NONE);
            if (head != null && RunRecord.isDone(head.value())) {
                state.done().add(uid);
                state.leftovers().addAll(pieces.removals());
                if (countsAsDemand.test(PlanRecord.admittedWallMicros(plan.value()))) {
                    state.recentlyDone().add(PlanRecord.of(plan.value()));
                }
                continue;
            }
            RunRecord.Head read = head == null ? null : RunRecord.Head.of(head.value());
            long headStamp = head == null ? 0 : head.stamp();
            state.unfinished().add(new StoredJob(PlanRecord.of(plan.value()), plan.stamp(), read, headStamp, pieces));
        }
    }

    /** Adds what lies in overflow values, which few plans have. */
    private CompletableFuture<Optional<StoredState>> complete(StoredState state) {
        List<CompletableFuture<Optional<PlanRecord>>> plans = new ArrayList<>();
        state.unfinished().forEach(job -> plans.add(job.plan().complete(store)));
        return CompletableFuture.allOf(plans.toArray(CompletableFuture[]::new)).thenApply(done -> {
            for (int index = 0; index < plans.size(); index++) {
                Optional<PlanRecord> plan = plans.get(index).join();
                if (plan.isEmpty()) {
                    return Optional.empty();
                }
                StoredJob job = state.unfinished().get(index);
                state.unfinished()
                        .set(
                                index,
                                new StoredJob(plan.get(), job.planStamp(), job.head(), job.headStamp(), job.pieces()));
            }
            return Optional.of(state);
        });
    }

    /** The stored records of all jobs, by their ids. */
    private final class Records {
        final Map<String, Entry> heads = new HashMap<>();
        final Map<String, RunRecord.StoredParts> pieces = new HashMap<>();

        Records(Listing runs, Listing parts) {
            for (Entry entry : runs.entries()) {
                String rest = after(RunRecord.PREFIX, entry);
                int slash = rest.indexOf('/');
                if (slash < 0) {
                    heads.put(rest, entry);
                } else {
                    addPart(rest.substring(0, slash), entry);
                }
            }
            parts.entries().forEach(entry -> addPart(RunRecord.uidOfPart(entry.key()), entry));
        }

        private void addPart(String uid, Entry entry) {
            pieces.computeIfAbsent(
                            uid,
                            each -> new RunRecord.StoredParts(
                                    new HashMap<>(), new HashMap<>(), previousVersionChunkTasks))
                    .add(entry);
        }
    }
}
