package io.sillreel.pipeline;

/**
 * The urgency of a job by its own submission; {@link EffectiveUrgency} adds what it inherits from its dependents.
 *
 * @param deadlineMicros time from submission to the deadline; negative without a deadline
 */
public record Urgency(PriorityClass priorityClass, long deadlineMicros) {}
