package io.sillreel.statestore;

/** The order in which writes are sent when there are more than the write rate allows; most urgent first. */
public enum WriteUrgency {
    /** The end of a job, for which its dependents and users wait. */
    JOB_END,
    /** The start of a job and every other change that is neither its end nor progress. */
    JOB_START,
    /** Completed tasks of a running job; written in larger batches. */
    PROGRESS
}
