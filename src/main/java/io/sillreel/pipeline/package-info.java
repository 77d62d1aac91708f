/**
 * Jobs, their dependencies and what is stored of them.
 *
 * <p>A submission becomes a {@link io.sillreel.pipeline.JobSpec}, which is stored in a
 * {@link io.sillreel.pipeline.PlanRecord}. The leader drives each unfinished job as an
 * {@link io.sillreel.pipeline.ActiveJob} and stores how far it has come in a {@link io.sillreel.pipeline.RunRecord}; a
 * completion bitmap that is too large for that is stored in chunks. {@link io.sillreel.pipeline.DependencyGraph}
 * decides which jobs may be released, and which are cancelled with a job that they depend on. Classes named
 * {@code Codec} and {@link io.sillreel.pipeline.CancellationRecord} know the names of the stored fields; no other class
 * does.
 *
 * <p>Jobs and the graph belong to one term of a leader and are guarded by the lock of its cluster state. Records and
 * specifications are immutable.
 */
package io.sillreel.pipeline;
