/**
 * HTTP and JSON for all other packages, and the event loop on which a controller runs.
 *
 * <p>{@link io.sillreel.http.HttpClient} and {@link io.sillreel.http.HttpHandler} are the two sides of a connection,
 * both implemented with Netty. {@link io.sillreel.http.RequestQueue} determines the order in which a server under load
 * handles requests. {@link io.sillreel.http.EventLoop} provides time and timers; simulations replace it. The package
 * holds connections and queued requests in memory and stores nothing.
 */
package io.sillreel.http;
