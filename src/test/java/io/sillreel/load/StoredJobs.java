package io.sillreel.load;

import static io.sillreel.sim.SimJobs.uid;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.pipeline.Checkpointing;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlacementRequirements;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.TaskSpec;
import io.sillreel.pipeline.Urgency;
import io.sillreel.sim.SimStateService;
import java.util.List;

/** Stores jobs of earlier terms: finished jobs, and jobs that depend on a job that never starts. */
public final class StoredJobs {
    private static final long ADMITTED_WALL_MICROS = 1_700_000_000_000_000L;
    /** Higher than the numbers of the jobs that are submitted during the measurement. */
    private static final int FIRST_UID = 500_000;
    /** Half of the unfinished jobs depend on the job before them, half on the first job. */
    private static final int DEPENDENCY_PATTERNS = 2;

    private final SimStateService stateService;
    private int nextNumber = FIRST_UID;

    public StoredJobs(SimStateService stateService) {
        this.stateService = stateService;
    }

    /** Stores that many finished jobs. */
    public void addDone(int count) {
        for (int each = 0; each < count; each++) {
            String uid = uid(nextNumber++);
            store(
                    PlanRecord.key(uid),
                    PlanRecordCodec.encode(new PlanRecord(ADMITTED_WALL_MICROS, spec(uid, null, List.of()))));
            store(
                    RunRecord.key(uid),
                    Json.object()
                            .put("pieces", 60)
                            .put("done", 60)
                            .put("running", 0)
                            .put("stage", RunRecord.DONE));
        }
    }

    void addAwaiting(int count) {
        int first = nextNumber;
        for (int each = 0; each < count; each++) {
            String uid = uid(nextNumber);
            List<String> dependencies =
                    each == 0 ? List.of() : List.of(uid(each % DEPENDENCY_PATTERNS == 0 ? first : nextNumber - 1));
            List<String> builds = each == 0 ? List.of("a-type-that-is-not-there") : null;
            store(
                    PlanRecord.key(uid),
                    PlanRecordCodec.encode(new PlanRecord(ADMITTED_WALL_MICROS, spec(uid, builds, dependencies))));
            nextNumber++;
        }
    }

    private void store(String key, ObjectNode value) {
        ObjectNode body = Json.object();
        body.putArray("then").addObject().put("set", key).set("v", value);
        stateService.handle(HttpRequest.post("/txn", body)).join();
    }

    private static JobSpec spec(String uid, List<String> builds, List<String> dependencies) {
        return new JobSpec(
                uid,
                "a-class-of-jobs",
                "t",
                new Urgency(PriorityClass.BEST_EFFORT, -1L),
                60,
                new TaskSpec(1.0, 0.0, 1.6, "img-07", 1.0, 25_000_000L, new Checkpointing(0L, 0L)),
                new PlacementRequirements(builds, null, false, false, true),
                dependencies);
    }
}
