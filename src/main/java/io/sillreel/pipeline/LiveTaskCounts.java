package io.sillreel.pipeline;

import java.util.Optional;

/** Counts of tasks for answers to users; only the leader knows them before they are stored. */
public interface LiveTaskCounts {
    /**
     * Counts of an unfinished job.
     *
     * @param done tasks that are done
     * @param running tasks that have an allocation
     * @param reason what users are told of the job's last failed attempt, or null without one
     */
    record Counts(int done, int running, String reason) {}

    /** The counts of an unfinished job; empty if this controller does not know them. */
    Optional<Counts> countsOf(String uid);
}
