package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;

/** A number of tasks of one job to launch on one machine; the tasks are chosen when the launch commands are sent. */
public record TaskAssignment(ActiveJob job, int count) {}
