/**
 * The HTTP API for users: submission, polling and cancellation of jobs.
 *
 * <p>{@link io.sillreel.admission.JobApiHandler} is the HTTP handler. Every controller serves it, leader or follower:
 * the controller that receives a request writes plans and cancellations by compare-and-swap, and the leader watches
 * them in the state service. The only state is a cache of job statuses, which are confirmed by the service before they
 * are returned unless they are terminal. Only {@code SubmissionDecoder} and {@code JobResponses} know the names of
 * fields and stages in the API.
 */
package io.sillreel.admission;
