package io.sillreel.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.RunRecord;
import java.util.Optional;

/** Creates the responses to users. Thread-safe if the live task counts are. */
final class JobResponses {
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final int MACHINE_TYPES_RETRY_AFTER_SECONDS = 2;
    private static final String CANCELLED = "withdrawn";
    private static final String QUEUED = "queued";
    private static final String RUNNING = "running";

    private final LiveTaskCounts liveTaskCounts;

    /** @param liveTaskCounts task counts that are newer than the stored ones */
    JobResponses(LiveTaskCounts liveTaskCounts) {
        this.liveTaskCounts = liveTaskCounts;
    }

    /** The status of an admitted job. */
    HttpResponse status(JobStatus status) {
        return HttpResponse.of(200, encode(status));
    }

    /** The job was admitted by this request. */
    static HttpResponse admitted(JobStatus status) {
        String stage = status.isCancelled() ? CANCELLED : QUEUED;
        return HttpResponse.of(201, Json.object().put("uid", status.uid()).put("stage", stage));
    }

    /** The submission can't be admitted unless it is changed. */
    static HttpResponse rejected(String reason) {
        return HttpResponse.error(422, reason);
    }

    static HttpResponse malformed(String reason) {
        return HttpResponse.error(400, reason);
    }

    static HttpResponse dependencyNotAdmitted(String dependency) {
        return rejected("awaits: " + dependency + " was never accepted");
    }

    static HttpResponse tooLarge(JobSpec spec) {
        int dependencies = spec.dependencies().size();
        String advice = dependencies == 0 ? "" : "; it awaits " + dependencies + " jobs, split them over several jobs";
        return rejected("the job's description is too large to be stored" + advice);
    }

    static HttpResponse jobNotFound() {
        return HttpResponse.error(404, "no such job");
    }

    static HttpResponse pathNotFound() {
        return HttpResponse.error(404, "no such path");
    }

    /** @param method the only method that the path supports */
    static HttpResponse methodNotAllowed(String method) {
        return HttpResponse.error(405, "use " + method);
    }

    /** The state service can't be read now, so the status of the job is unknown. */
    static HttpResponse storeUnavailable() {
        return retryLater("the state service can't be asked now");
    }

    /** The state service certainly did not apply the write. */
    static HttpResponse writeRefused() {
        return retryLater("the state service does not take the job now");
    }

    /** The write may or may not have been applied. */
    static HttpResponse writeUncertain() {
        return retryLater("the job could not be stored for certain");
    }

    /** Every attempt conflicted with a concurrent change of the job. */
    static HttpResponse tooManyConflicts() {
        return retryLater("the job is changing too fast");
    }

    static HttpResponse machineTypesUnknown() {
        return HttpResponse.retryLater(503, "the machine types are not known yet", MACHINE_TYPES_RETRY_AFTER_SECONDS);
    }

    private static HttpResponse retryLater(String reason) {
        return HttpResponse.retryLater(503, reason, RETRY_AFTER_SECONDS);
    }

    private ObjectNode encode(JobStatus status) {
        ObjectNode node = Json.object().put("uid", status.uid());
        RunRecord run = status.runRecord();
        if (status.isCancelled()) {
            return putProgress(node, CANCELLED, run == null ? 0 : run.doneTasks(), 0);
        }
        if (status.isDone()) {
            return putProgress(node, RunRecord.DONE, run.tasks(), 0);
        }
        Optional<LiveTaskCounts.Counts> live = liveTaskCounts.countsOf(status.uid());
        if (live.isPresent()) {
            return putUnfinished(
                    node, live.get().done(), live.get().running(), live.get().reason());
        }
        return run == null
                ? putUnfinished(node, 0, 0, null)
                : putUnfinished(node, run.doneTasks(), run.runningTasks(), run.reason());
    }

    private static ObjectNode putUnfinished(ObjectNode node, int doneTasks, int runningTasks, String reason) {
        putProgress(node, runningTasks > 0 ? RUNNING : QUEUED, doneTasks, runningTasks);
        return reason == null ? node : node.put("reason", reason);
    }

    private static ObjectNode putProgress(ObjectNode node, String stage, int doneTasks, int runningTasks) {
        return node.put("stage", stage).put("done", doneTasks).put("running", runningTasks);
    }
}
