/**
 * HTTP and JSON for all other packages, and the event loop on which a controller runs.
 *
 * <p>{@link io.sillreel.http.HttpClient} and {@link io.sillreel.http.HttpHandler} are the two sides of a connection,
 * both implemented with Netty. {@link io.sillreel.http.RequestQueue} decides in which order a loaded server handles
 * requests. {@link io.sillreel.http.EventLoop} is the source of time and timers; simulations replace it. The package
 * keeps connections and waiting requests, and nothing that outlives the process.
 */
package io.sillreel.http;
