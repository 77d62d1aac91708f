package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests. */
public interface HttpClient {
    /**
     * Sends a request.
     *
     * @param address host and port, separated by a colon
     * @param timeoutMicros time until the future completes without a response, including the wait for a connection
     * @return completes always, never with an exception: without a response with one of the negative or zero statuses
     *     of {@link HttpResponse}
     */
    CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros);
}
