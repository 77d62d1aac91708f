package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** Responds to HTTP requests. */
public interface HttpHandler {
    /**
     * Handles a request; called on the event loop.
     *
     * @return the response; if the method throws or the future fails, the client receives status 503
     */
    CompletableFuture<HttpResponse> handle(HttpRequest request);
}
