package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** Responds to HTTP requests. */
public interface HttpHandler {
    /**
     * Handles a request; called on the event loop.
     *
     * @return the response; an exception, thrown or in the future, is sent as status 503
     */
    CompletableFuture<HttpResponse> handle(HttpRequest request);
}
