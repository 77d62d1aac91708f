package io.sillreel.statestore;

/** The order in which writes are sent when the state service takes less than there is to write; most urgent first. */
public enum WriteUrgency {
    JOB_END,
    JOB_START,
    PROGRESS
}
