/**
 * Jobs, their dependencies and their stored records.
 *
 * <p>A submission becomes a {@link io.sillreel.pipeline.JobSpec}, which is stored in a
 * {@link io.sillreel.pipeline.PlanRecord}. The leader holds each unfinished job as an
 * {@link io.sillreel.pipeline.ActiveJob} and stores its progress in a {@link io.sillreel.pipeline.RunRecord}; a
 * completion bitmap that is too large for the record is stored in chunks. {@link io.sillreel.pipeline.DependencyGraph}
 * decides which jobs may be released and which are cancelled along with a job that they depend on. The names of stored
 * fields appear only in classes named {@code Codec} and in {@link io.sillreel.pipeline.CancellationRecord}.
 *
 * <p>Jobs and the graph belong to one term of a leader and are guarded by the lock of its cluster state (the cluster
 * lock). Records and specifications are immutable.
 */
package io.sillreel.pipeline;
