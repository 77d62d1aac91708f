package io.sillreel.admission;

import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Reads what is stored of jobs into the views that {@link JobStatusService} remembers. */
final class JobStatusReader {
    /** What a view of a job that awaits others takes from its plan, which never changes. */
    private record DependentPlan(long revision, int tasks, List<String> dependencies) {}

    private final StateStore store;
    private final JobStatusService views;
    private final int maxDependentPlans;
    /** The reading of all plans that is under way; whoever asks meanwhile is answered from it. */
    private CompletableFuture<Optional<Map<String, DependentPlan>>> pendingScan;

    /** @param maxChainPlans how many plans of jobs that await others may be held at once */
    JobStatusReader(StateStore store, JobStatusService views, int maxChainPlans) {
        this.store = store;
        this.views = views;
        this.maxDependentPlans = maxChainPlans;
    }

    /** Reads all plans once, and what the given jobs need from them; the beginnings of chains are read one by one. */
    CompletableFuture<Boolean> loadFromAllPlans(Set<String> uids) {
        return readAllPlans().thenCompose(plans -> {
            if (plans.isEmpty()) {
                return CompletableFuture.completedFuture(false);
            }
            Set<String> toRead = new LinkedHashSet<>();
            Deque<String> open = new ArrayDeque<>(uids);
            Set<String> seen = new HashSet<>(uids);
            while (!open.isEmpty()) {
                String uid = open.poll();
                DependentPlan plan = plans.get().get(uid);
                if (plan == null) {
                    toRead.add(uid);
                } else if (!views.cached(uid).isAccepted()) {
                    views.cache(statusOfPlan(uid, plan));
                    plan.dependencies().stream().filter(seen::add).forEach(open::add);
                }
            }
            return load(toRead);
        });
    }

    /** Completes with the plans of jobs that await others, or with nothing if they could not be read or held. */
    private synchronized CompletableFuture<Optional<Map<String, DependentPlan>>> readAllPlans() {
        if (pendingScan != null) {
            return pendingScan;
        }
        Map<String, DependentPlan> plans = new HashMap<>();
        CompletableFuture<Optional<Map<String, DependentPlan>>> reading = new CompletableFuture<>();
        pendingScan = reading;
        store.scan(PlanRecord.PREFIX, page -> {
                    page.forEach(entry -> addDependentPlan(plans, entry));
                    return CompletableFuture.completedFuture(plans.size() <= maxDependentPlans);
                })
                .thenAccept(scan -> {
                    synchronized (this) {
                        pendingScan = null;
                    }
                    reading.complete(scan.outcome() == StoreOutcome.OK ? Optional.of(plans) : Optional.empty());
                });
        return reading;
    }

    private static void addDependentPlan(Map<String, DependentPlan> plans, StoredEntry entry) {
        PlanRecord plan = PlanRecordCodec.decode(entry.value());
        JobSpec spec = plan.spec();
        if (plan.isComplete() && !spec.dependencies().isEmpty()) {
            plans.put(spec.uid(), new DependentPlan(entry.revision(), spec.tasks(), spec.dependencies()));
        }
    }

    /** Reads what is stored of the jobs; false if that can't be said of one of them. */
    CompletableFuture<Boolean> load(Collection<String> uids) {
        List<CompletableFuture<Boolean>> each = new ArrayList<>();
        uids.forEach(uid -> each.add(read(uid)));
        return CompletableFuture.allOf(each.toArray(CompletableFuture[]::new))
                .thenApply(all -> each.stream().allMatch(CompletableFuture::join));
    }

    private CompletableFuture<Boolean> read(String uid) {
        CompletableFuture<Optional<JobStatus>> planned = readPlan(uid);
        CompletableFuture<ReadResult> run = store.get(RunRecord.key(uid));
        CompletableFuture<ReadResult> cancel = store.get(CancellationRecord.key(uid));
        return CompletableFuture.allOf(planned, run, cancel).thenApply(ignored -> {
            boolean decided = run.join().isConclusive() && cancel.join().isConclusive();
            if (planned.join().isEmpty() || !decided) {
                return false;
            }
            JobStatus status = planned.join().get();
            Optional<StoredEntry> head = run.join().entry();
            views.cache(new JobStatus(
                    uid,
                    status.planRevision(),
                    status.tasks(),
                    status.dependencies(),
                    run.join().revision(),
                    head.isEmpty() ? null : RunRecordCodec.decode(head.get().value()),
                    cancel.join().revision(),
                    false));
            return true;
        });
    }

    /** What the plan says of a job, read unless it is remembered; empty if that can't be said. */
    private CompletableFuture<Optional<JobStatus>> readPlan(String uid) {
        JobStatus old = views.cached(uid);
        if (old.isAccepted()) {
            return CompletableFuture.completedFuture(Optional.of(old));
        }
        return store.get(PlanRecord.key(uid)).thenCompose(read -> {
            if (!read.isConclusive()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (read.entry().isEmpty()) {
                return CompletableFuture.completedFuture(Optional.of(old));
            }
            return PlanOverflow.load(PlanRecordCodec.decode(read.entry().get().value()), store)
                    .thenApply(plan -> plan.map(whole -> statusOfPlan(uid, read.revision(), whole.spec())));
        });
    }

    private static JobStatus statusOfPlan(String uid, DependentPlan plan) {
        return new JobStatus(uid, plan.revision(), plan.tasks(), plan.dependencies(), 0, null, 0, false);
    }

    /** What is known of a job by its plan alone. */
    static JobStatus statusOfPlan(String uid, long planRevision, JobSpec spec) {
        return statusOfPlan(uid, new DependentPlan(planRevision, spec.tasks(), spec.dependencies()));
    }
}
