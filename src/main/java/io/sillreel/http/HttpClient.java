package io.sillreel.http;

import java.util.concurrent.CompletableFuture;

/** The client side of HTTP. The future always completes with a reply, never with an exception. */
public interface HttpClient {
    CompletableFuture<HttpResponse> call(String address, HttpRequest call, long timeoutMicros);
}
