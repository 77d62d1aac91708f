/**
 * The users' interface: submission, polling and cancellation of jobs.
 *
 * <p>{@link io.sillreel.admission.JobApiHandler} is the HTTP handler. Every controller serves it, leader or not: plans
 * and cancellations are written by compare-and-swap by the controller that was asked, and the leader learns of them
 * from the state store. The only state is a cache of job statuses, which are confirmed by the store before they are
 * told unless they are final. The users' words for fields and stages stand only in {@code SubmissionDecoder} and
 * {@code JobResponses}.
 */
package io.sillreel.admission;
