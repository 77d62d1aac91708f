package io.sillreel.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.RunRecord;
import java.util.List;

/**
 * What this controller last read of a job; stamps are 0 for keys that did not exist then.
 *
 * @param awaits the jobs that have to be done before this one
 * @param closed something that it awaits, directly or through others, is cancelled
 */
record JobStatus(
        String uid,
        long planStamp,
        int tasks,
        List<String> awaits,
        long runStamp,
        RunRecord head,
        long cancellationStamp,
        boolean closed) {
    static JobStatus unknown(String uid) {
        return new JobStatus(uid, 0, 0, List.of(), 0, null, 0, false);
    }

    boolean accepted() {
        return planStamp > 0;
    }

    boolean done() {
        return head != null && head.isDone();
    }

    /** Cancelled by itself, or with what it needs: whatever follows a cancelled job is never released. */
    boolean cancelled() {
        return cancellationStamp > 0 || closed;
    }

    /** A stored terminal state never changes, so it may be told without asking the store again. */
    boolean terminal() {
        return done() || cancelled();
    }

    /** True if its state depends on that of other jobs: once it has been released, all of them are done. */
    boolean awaitsOthers() {
        return !awaits.isEmpty() && runStamp == 0 && !cancelled();
    }

    JobStatus closedBy() {
        return new JobStatus(uid, planStamp, tasks, awaits, runStamp, head, cancellationStamp, true);
    }

    /** What both know together; neither can be newer than the other in everything. */
    JobStatus with(JobStatus old) {
        boolean runOlder = runStamp < old.runStamp();
        return new JobStatus(
                uid,
                Math.max(planStamp, old.planStamp()),
                Math.max(tasks, old.tasks()),
                awaits.isEmpty() ? old.awaits() : awaits,
                Math.max(runStamp, old.runStamp()),
                runOlder ? old.head() : head,
                Math.max(cancellationStamp, old.cancellationStamp()),
                closed || old.closed());
    }

    /** The users' picture of the job; live counts, if there are any, are newer than the record's. */
    ObjectNode answer(LiveTaskCounts.Counts live) {
        ObjectNode node = Json.object().put("uid", uid);
        if (cancelled()) {
            return node.put("stage", "withdrawn")
                    .put("done", head == null ? 0 : head.doneTasks())
                    .put("running", 0);
        }
        if (done()) {
            return node.put("stage", RunRecord.DONE).put("done", head.tasks()).put("running", 0);
        }
        int running = live != null ? live.running() : head == null ? 0 : head.runningTasks();
        int done = live != null ? live.done() : head == null ? 0 : head.doneTasks();
        String reason = live != null ? live.reason() : head == null ? null : head.reason();
        node.put("stage", running > 0 ? "running" : "queued").put("done", done).put("running", running);
        if (reason != null) {
            node.put("reason", reason);
        }
        return node;
    }
}
