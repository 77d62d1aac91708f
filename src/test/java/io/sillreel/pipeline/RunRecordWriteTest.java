package io.sillreel.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.ConflictResolution;
import io.sillreel.statestore.StoredEntry;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RunRecordWriteTest {
    private static final int TASKS = 4;

    private boolean isCompletionFound;

    private final ActiveJob job = new ActiveJob(
            new JobSpec(
                    "job-000001",
                    "l",
                    "t",
                    new Urgency(PriorityClass.NORMAL, -1),
                    TASKS,
                    new TaskSpec(1, 0, 1, "img", 1, 1_000_000, new Checkpointing(0, 0)),
                    new PlacementRequirements(null, null, false, false, true),
                    List.of()),
            1,
            0,
            new ValueLimits(8_192, 8_192),
            new NoOpJobListener() {
                @Override
                public void completionFound(ActiveJob found) {
                    isCompletionFound = true;
                    found.markAllTasksDone();
                }
            });

    private static ObjectNode record(int doneTasks) {
        return Json.object().put("pieces", TASKS).put("done", doneTasks).put("stage", "running");
    }

    private ConflictResolution resolve(ObjectNode stored, long revision) {
        return job.recordWrite().onConflict(Optional.of(new StoredEntry("run/job-000001", stored, revision)));
    }

    @Test
    void endsTheTermIfTheStoredRecordHasMoreCompletedTasks() {
        assertThat(resolve(record(2), 7)).isEqualTo(ConflictResolution.ABANDON_TERM);
    }

    /** A record may count tasks whose chunks were not stored when the term began; that does not make it newer. */
    @Test
    void retriesIfTheStoredRecordIsTheOneThatTheTermInherited() {
        job.inherit(7, RunRecordCodec.decode(record(2)), StoredChunks.NONE);
        assertThat(job.doneCount()).isZero();
        assertThat(resolve(record(2), 7)).isEqualTo(ConflictResolution.RETRY);
    }

    @Test
    void retriesIfTheStoredRecordIsCoveredByTheStateOfTheTerm() {
        job.markTaskDone(0);
        assertThat(resolve(record(1), 7)).isEqualTo(ConflictResolution.RETRY);
        assertThat(job.recordWrite().revision()).isEqualTo(7);
    }

    @Test
    void adoptsAStoredCompletion() {
        assertThat(resolve(record(TASKS).put("stage", "done"), 7)).isEqualTo(ConflictResolution.DISCARD);
        assertThat(isCompletionFound).isTrue();
        assertThat(job.isCompletionStored()).isTrue();
    }
}
