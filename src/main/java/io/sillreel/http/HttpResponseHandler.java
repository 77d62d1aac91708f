package io.sillreel.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/** Matches each response on one connection of a {@link ConnectionPool} with the request in progress. */
final class HttpResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final ConnectionPool pool;
    /** The request in progress, or null if the connection is idle. */
    private PendingExchange current;

    private boolean usedSinceSweep = true;

    HttpResponseHandler(ConnectionPool pool) {
        this.pool = pool;
    }

    /** Associates the next response with the exchange. */
    void begin(PendingExchange exchange) {
        current = exchange;
        usedSinceSweep = true;
    }

    /** Returns whether a request was sent since the previous call. */
    boolean clearUsedSinceSweep() {
        boolean used = usedSinceSweep;
        usedSinceSweep = false;
        return used;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse nettyResponse) {
        PendingExchange exchange = current;
        current = null;
        if (exchange == null) {
            ctx.close();
            return;
        }
        byte[] body = new byte[nettyResponse.content().readableBytes()];
        nettyResponse.content().readBytes(body);
        int retryAfterSeconds = nettyResponse.headers().getInt(HttpHeaderNames.RETRY_AFTER, 0);
        HttpResponse response = new HttpResponse(nettyResponse.status().code(), body, retryAfterSeconds);
        pool.complete(ctx.channel(), exchange, response, HttpUtil.isKeepAlive(nettyResponse));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        completeCurrent(HttpResponse.noResponse());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void completeCurrent(HttpResponse response) {
        if (current != null) {
            PendingExchange exchange = current;
            current = null;
            exchange.complete(response);
        }
    }

    /**
     * Aggregates the parts of a response. If it is too large, completes the request with
     * {@link HttpResponse#RESPONSE_TOO_LARGE} and closes the connection.
     */
    static final class Aggregator extends HttpObjectAggregator {
        Aggregator(int maxResponseBytes) {
            super(maxResponseBytes);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.pipeline().get(HttpResponseHandler.class).completeCurrent(HttpResponse.responseTooLarge());
            ctx.close();
        }
    }
}
