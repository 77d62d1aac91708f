package io.sillreel.admission;

import io.sillreel.http.UnexpectedErrors;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.ScanResult;
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

/**
 * Reads the stored state of jobs into the cache. The methods complete with false if a read failed, for example because
 * the state service does not respond. Thread-safe.
 */
final class JobStatusReader {
    /** The part of the plan of a job with dependencies that its status requires; plans never change. */
    private record DependentPlan(long revision, List<String> dependencies) {}

    private final StateStore store;
    private final UnexpectedErrors errors;
    private final JobStatusCache cache;
    private final int maxDependentPlans;
    /** The scan of all plans in progress, shared by all callers, or null. Guarded by {@code this}. */
    private CompletableFuture<Optional<Map<String, DependentPlan>>> pendingScan;

    /** @param maxDependentPlans the maximum number of plans of jobs with dependencies that a scan may hold in memory */
    JobStatusReader(StateStore store, UnexpectedErrors errors, JobStatusCache cache, int maxDependentPlans) {
        this.store = store;
        this.errors = errors;
        this.cache = cache;
        this.maxDependentPlans = maxDependentPlans;
    }

    /**
     * Scans all plans for those of the given jobs and their transitive dependencies. Jobs without such a plan are read
     * individually.
     */
    CompletableFuture<Boolean> loadFromAllPlans(Set<String> uids) {
        return scanDependentPlans().thenCompose(plans -> {
            if (plans.isEmpty()) {
                return CompletableFuture.completedFuture(false);
            }
            return load(cacheDependentPlans(uids, plans.get()));
        });
    }

    /** Caches the plans of the jobs and their transitive dependencies; returns the jobs that are not in the map. */
    private Set<String> cacheDependentPlans(Set<String> uids, Map<String, DependentPlan> plans) {
        Set<String> withoutPlan = new LinkedHashSet<>();
        Deque<String> pending = new ArrayDeque<>(uids);
        Set<String> visited = new HashSet<>(uids);
        while (!pending.isEmpty()) {
            String uid = pending.poll();
            DependentPlan plan = plans.get(uid);
            if (plan == null) {
                withoutPlan.add(uid);
            } else if (!cache.get(uid).isAdmitted()) {
                cache.merge(JobStatus.ofPlan(uid, plan.revision(), plan.dependencies()));
                plan.dependencies().stream().filter(visited::add).forEach(pending::add);
            }
        }
        return withoutPlan;
    }

    /** Completes with the plans of all jobs with dependencies, or empty if the scan failed or found too many. */
    private synchronized CompletableFuture<Optional<Map<String, DependentPlan>>> scanDependentPlans() {
        if (pendingScan != null) {
            return pendingScan;
        }
        Map<String, DependentPlan> plans = new HashMap<>();
        CompletableFuture<Optional<Map<String, DependentPlan>>> result = new CompletableFuture<>();
        pendingScan = result;
        CompletableFuture<ScanResult> scan = store.scan(PlanRecord.PREFIX, page -> {
            for (StoredEntry entry : page) {
                errors.runConfined("the stored value of " + entry.key(), () -> addDependentPlan(plans, entry));
            }
            return CompletableFuture.completedFuture(plans.size() <= maxDependentPlans);
        });
        scan.whenComplete((scanned, failure) -> {
            synchronized (this) {
                pendingScan = null;
            }
            boolean isComplete = failure == null && scanned.outcome() == StoreOutcome.OK;
            result.complete(isComplete ? Optional.of(plans) : Optional.empty());
        });
        return result;
    }

    private static void addDependentPlan(Map<String, DependentPlan> plans, StoredEntry entry) {
        PlanRecord plan = PlanRecordCodec.decode(entry.value());
        JobSpec spec = plan.spec();
        if (plan.isComplete() && !spec.dependencies().isEmpty()) {
            plans.put(spec.uid(), new DependentPlan(entry.revision(), spec.dependencies()));
        }
    }

    /** Reads the stored state of the jobs. */
    CompletableFuture<Boolean> load(Collection<String> uids) {
        List<CompletableFuture<Boolean>> reads = new ArrayList<>();
        uids.forEach(uid -> reads.add(load(uid)));
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(all -> reads.stream().allMatch(CompletableFuture::join));
    }

    private CompletableFuture<Boolean> load(String uid) {
        CompletableFuture<Optional<JobStatus>> planStatus = readPlan(uid);
        CompletableFuture<ReadResult> run = store.get(RunRecord.key(uid));
        CompletableFuture<ReadResult> cancellation = store.get(CancellationRecord.key(uid));
        return CompletableFuture.allOf(planStatus, run, cancellation)
                .thenApply(all -> cacheIfConclusive(planStatus.join(), run.join(), cancellation.join()));
    }

    private boolean cacheIfConclusive(Optional<JobStatus> planStatus, ReadResult run, ReadResult cancellation) {
        if (planStatus.isEmpty() || !run.isConclusive() || !cancellation.isConclusive()) {
            return false;
        }
        RunRecord runRecord = run.entry().isEmpty()
                ? null
                : RunRecordCodec.decode(run.entry().get().value());
        cache.merge(planStatus.get().withRun(run.revision(), runRecord, cancellation.revision()));
        return true;
    }

    /** Completes with the status according to the plan, which is read unless cached; empty if the read failed. */
    private CompletableFuture<Optional<JobStatus>> readPlan(String uid) {
        JobStatus cached = cache.get(uid);
        if (cached.isAdmitted()) {
            return CompletableFuture.completedFuture(Optional.of(cached));
        }
        return store.get(PlanRecord.key(uid)).thenCompose(read -> {
            if (!read.isConclusive()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (read.entry().isEmpty()) {
                return CompletableFuture.completedFuture(Optional.of(cached));
            }
            return PlanOverflow.load(PlanRecordCodec.decode(read.entry().get().value()), store)
                    .thenApply(plan -> plan.map(completePlan -> JobStatus.ofPlan(
                            uid, read.revision(), completePlan.spec().dependencies())));
        });
    }
}
