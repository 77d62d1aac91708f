package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** The client side of HTTP. The future always completes with a reply, never with an exception. */
public interface HttpClient {
    CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros);
}
