package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests. */
public interface HttpClient {
    /**
     * Sends a request.
     *
     * @param address host and port, separated by a colon
     * @param timeoutMicros time after which the future completes without a response, including the wait for a
     *     connection
     * @return a future that always completes normally; if there is no response, its status is one of the constants of
     *     {@link HttpResponse}
     */
    CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros);
}
