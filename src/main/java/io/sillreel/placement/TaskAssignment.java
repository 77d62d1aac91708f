package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;

/** Tasks of one job that are to be launched on one machine; which ones is decided when the machine is told. */
public record TaskAssignment(ActiveJob job, int count) {}
