package io.sillreel.statestore;

/** The order in which writes are sent when the state service takes less than there is to write; most urgent first. */
public enum WriteUrgency {
    /** The end of a job, on which jobs that depend on it and users wait. */
    JOB_END,
    /** The start of a job and every other change that is neither its end nor progress. */
    JOB_START,
    /** Completed tasks of a running job; written in larger batches. */
    PROGRESS
}
