package io.sillreel.http;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;

/** A request of {@link NettyHttpClient} that awaits its response. Confined to the client's event loop. */
final class PendingExchange {
    private final HttpRequest request;
    private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
    private ScheduledFuture<?> timer;
    private Channel channel;

    PendingExchange(HttpRequest request) {
        this.request = request;
    }

    HttpRequest request() {
        return request;
    }

    CompletableFuture<HttpResponse> future() {
        return future;
    }

    /** Sets the timeout timer, which is cancelled once the exchange is complete. */
    void setTimer(ScheduledFuture<?> timer) {
        this.timer = timer;
    }

    /** Returns the connection on which the request was sent, or null while it is queued. */
    Channel channel() {
        return channel;
    }

    void setChannel(Channel channel) {
        this.channel = channel;
    }

    void complete(HttpResponse response) {
        if (timer != null) {
            timer.cancel(false);
        }
        future.complete(response);
    }
}
