package io.sillreel.pipeline;

/**
 * How urgent a job is by its own submission; {@link ActiveJob} adds what it inherits from its dependents.
 *
 * @param deadlineMicros time from submission to the deadline; negative without a deadline
 */
public record Urgency(PriorityClass priorityClass, long deadlineMicros) {}
