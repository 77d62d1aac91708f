package io.sillreel.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.pipeline.LiveTaskCounts.Counts;
import io.sillreel.pipeline.RunRecord;
import java.util.List;
import java.util.Optional;

/**
 * What this controller last read of a job; revisions are 0 for keys that did not exist then.
 *
 * @param dependencies the jobs that have to be done before this one
 * @param dependencyCancelled true if a job that it depends on, directly or transitively, is cancelled
 */
record JobStatus(
        String uid,
        long planRevision,
        int tasks,
        List<String> dependencies,
        long runRevision,
        RunRecord runHead,
        long cancellationRevision,
        boolean dependencyCancelled) {
    static JobStatus unknown(String uid) {
        return new JobStatus(uid, 0, 0, List.of(), 0, null, 0, false);
    }

    boolean isAccepted() {
        return planRevision > 0;
    }

    boolean isDone() {
        return runHead != null && runHead.isDone();
    }

    /** Cancelled by itself, or with what it needs: whatever follows a cancelled job is never released. */
    boolean isCancelled() {
        return cancellationRevision > 0 || dependencyCancelled;
    }

    /** A stored terminal state never changes, so it may be told without asking the store again. */
    boolean isTerminal() {
        return isDone() || isCancelled();
    }

    /** True if its state depends on that of other jobs: once it has been released, all of them are done. */
    boolean isWaitingForDependencies() {
        return !dependencies.isEmpty() && runRevision == 0 && !isCancelled();
    }

    JobStatus withDependencyCancelled() {
        return new JobStatus(uid, planRevision, tasks, dependencies, runRevision, runHead, cancellationRevision, true);
    }

    /** What both know together; neither can be newer than the other in everything. */
    JobStatus mergedWith(JobStatus old) {
        boolean runOlder = runRevision < old.runRevision();
        return new JobStatus(
                uid,
                Math.max(planRevision, old.planRevision()),
                Math.max(tasks, old.tasks()),
                dependencies.isEmpty() ? old.dependencies() : dependencies,
                Math.max(runRevision, old.runRevision()),
                runOlder ? old.runHead() : runHead,
                Math.max(cancellationRevision, old.cancellationRevision()),
                dependencyCancelled || old.dependencyCancelled());
    }

    /** The users' picture of the job; live counts, if there are any, are newer than the record's. */
    ObjectNode answer(Optional<Counts> live) {
        ObjectNode node = Json.object().put("uid", uid);
        if (isCancelled()) {
            return node.put("stage", "withdrawn")
                    .put("done", runHead == null ? 0 : runHead.doneTasks())
                    .put("running", 0);
        }
        if (isDone()) {
            return node.put("stage", RunRecord.DONE)
                    .put("done", runHead.tasks())
                    .put("running", 0);
        }
        Counts counts = live.isPresent() ? live.get() : storedCounts();
        node.put("stage", counts.running() > 0 ? "running" : "queued")
                .put("done", counts.done())
                .put("running", counts.running());
        if (counts.reason() != null) {
            node.put("reason", counts.reason());
        }
        return node;
    }

    private Counts storedCounts() {
        return runHead == null
                ? new Counts(0, 0, null)
                : new Counts(runHead.doneTasks(), runHead.runningTasks(), runHead.reason());
    }
}
