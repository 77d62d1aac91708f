/**
 * Protection of this process and of the services it calls against too many requests.
 *
 * <p>{@link io.sillreel.overload.AdaptiveConcurrencyLimit} limits the user requests in progress,
 * {@link io.sillreel.overload.RateLimiter} the rate of requests to a shared service, and
 * {@link io.sillreel.overload.EventLoopLag} shows whether the process gets enough CPU time. All state is in memory.
 */
package io.sillreel.overload;
