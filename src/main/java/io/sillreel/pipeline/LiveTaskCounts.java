package io.sillreel.pipeline;

import java.util.Optional;

/** Task counts for status responses to users; only the leader has counts that are not stored yet. */
public interface LiveTaskCounts {
    /**
     * The task counts of an unfinished job.
     *
     * @param done number of tasks that are done
     * @param running number of tasks with an allocation
     * @param reason the reason of the job's last failed attempt as reported to users, or null without one
     */
    record Counts(int done, int running, String reason) {}

    /** Returns the task counts of an unfinished job; empty if this controller does not have them. */
    Optional<Counts> countsOf(String uid);
}
