package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** The server side of HTTP. */
public interface HttpHandler {
    CompletableFuture<HttpResponse> handle(HttpRequest request);
}
