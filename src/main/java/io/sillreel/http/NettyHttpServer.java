package io.sillreel.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.sillreel.http.RequestQueue.RequestClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP/1.1 server with persistent connections. Connections over the limit are closed at once. Worker agents may use
 * only part of the connections, so that users and health checks are still served when all agents connect to the only
 * controller that is up. All state is confined to the event loop.
 */
public final class NettyHttpServer {
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Minimum accept backlog: all worker agents connect at once when the other controllers fail. */
    private static final int MIN_BACKLOG = 1_024;

    /** Time for the client to finish sending an oversized body before the connection is closed. */
    private static final int DRAIN_MILLIS = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);

    private final NettyEventLoop eventLoop;
    private final int maxBodyBytes;
    private final int maxConnections;
    private final Function<HttpRequest, RequestClass> requestClassifier;
    private final RequestQueue requestQueue;
    private final int maxWorkerConnections;
    private int openConnections;
    private int workerConnections;

    /** Creates a server that handles every request without queueing it. */
    public NettyHttpServer(NettyEventLoop eventLoop, int maxBodyBytes, int maxConnections) {
        this(eventLoop, maxBodyBytes, maxConnections, request -> RequestClass.IMMEDIATE, null, 0);
    }

    /**
     * @param maxBodyBytes the largest request body accepted; a larger one is rejected with status 400
     * @param requestClassifier determines the class by which a request is queued
     * @param requestQueue holds the requests that are not {@link RequestClass#IMMEDIATE}
     * @param maxWorkerConnections the number of connections that may send requests of class
     *     {@link RequestClass#WORKERS}
     */
    public NettyHttpServer(
            NettyEventLoop eventLoop,
            int maxBodyBytes,
            int maxConnections,
            Function<HttpRequest, RequestClass> requestClassifier,
            RequestQueue requestQueue,
            int maxWorkerConnections) {
        this.eventLoop = eventLoop;
        this.maxBodyBytes = maxBodyBytes;
        this.maxConnections = maxConnections;
        this.requestClassifier = requestClassifier;
        this.requestQueue = requestQueue;
        this.maxWorkerConnections = maxWorkerConnections;
    }

    /**
     * Binds the address and waits for the result; must not be called on the event loop. Throws the cause of a failure,
     * such as a BindException.
     */
    public Channel listen(InetSocketAddress address, HttpHandler handler) {
        return bind(address, handler).syncUninterruptibly().channel();
    }

    /** Binds the address without waiting; may be called on the event loop. */
    public ChannelFuture bind(InetSocketAddress address, HttpHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop.nettyLoop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, Math.max(MIN_BACKLOG, maxConnections))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (++openConnections > maxConnections) {
                            channel.close();
                        }
                        channel.closeFuture().addListener(closed -> openConnections--);
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new Aggregator(maxBodyBytes))
                                .addLast(new RequestDispatcher(handler));
                    }
                });
        return bootstrap.bind(address);
    }

    private static FullHttpResponse nettyResponse(HttpResponse response) {
        FullHttpResponse nettyResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        nettyResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        nettyResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        if (response.retryAfterSeconds() > 0) {
            nettyResponse.headers().setInt(HttpHeaderNames.RETRY_AFTER, response.retryAfterSeconds());
        }
        return nettyResponse;
    }

    /** Rejects oversized bodies with status 400, as the protocol requires, instead of Netty's default 413. */
    private static final class Aggregator extends HttpObjectAggregator {
        Aggregator(int maxBodyBytes) {
            super(maxBodyBytes);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            FullHttpResponse refusal = nettyResponse(HttpResponse.error(400, "the body is larger than 64 KiB"));
            refusal.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(refusal);
            // Closing while the client is still sending would reset the connection before it has read the response.
            ctx.executor().schedule(() -> ctx.close(), DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the requests of one connection. */
    private final class RequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpHandler handler;
        private boolean isWorkerConnection;

        RequestDispatcher(HttpHandler handler) {
            this.handler = handler;
        }

        /**
         * Marks the connection as a worker connection on its first request of class {@link RequestClass#WORKERS};
         * returns false if there are too many worker connections.
         */
        private boolean tryAdmit(RequestClass requestClass) {
            if (isWorkerConnection || requestClass != RequestClass.WORKERS) {
                return true;
            }
            if (workerConnections >= maxWorkerConnections) {
                return false;
            }
            isWorkerConnection = true;
            workerConnections++;
            return true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (isWorkerConnection) {
                isWorkerConnection = false;
                workerConnections--;
            }
            ctx.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest nettyRequest) {
            boolean keepAlive = HttpUtil.isKeepAlive(nettyRequest);
            byte[] body = new byte[nettyRequest.content().readableBytes()];
            nettyRequest.content().readBytes(body);
            if (!nettyRequest.decoderResult().isSuccess()) {
                write(ctx, HttpResponse.error(400, "not HTTP"), false);
                return;
            }
            HttpRequest request = new HttpRequest(nettyRequest.method().name(), nettyRequest.uri(), body);
            RequestClass requestClass = requestClassifier.apply(request);
            if (!tryAdmit(requestClass)) {
                write(ctx, HttpResponse.retryLater(503, "too many connections", 1), false);
            } else if (requestClass == RequestClass.IMMEDIATE) {
                respond(ctx, request, keepAlive);
            } else if (!requestQueue.enqueue(
                    requestClass, body.length, ctx.channel()::isActive, () -> respond(ctx, request, keepAlive))) {
                write(ctx, HttpResponse.retryLater(503, "too much waits already", 1), keepAlive);
            }
        }

        private void respond(ChannelHandlerContext ctx, HttpRequest request, boolean keepAlive) {
            handle(request).whenComplete((response, failure) -> {
                if (failure != null) {
                    eventLoop
                            .unexpectedErrors()
                            .report("the request " + request.method() + " " + request.path(), failure);
                    write(ctx, HttpResponse.retryLater(503, "internal error", 1), keepAlive);
                } else {
                    write(ctx, response, keepAlive);
                }
            });
        }

        /** Converts whatever the handler throws to a failed future, so that its client gets a response. */
        private CompletableFuture<HttpResponse> handle(HttpRequest request) {
            try {
                return handler.handle(request);
            } catch (Throwable e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private void write(ChannelHandlerContext ctx, HttpResponse response, boolean keepAlive) {
            FullHttpResponse nettyResponse = nettyResponse(response);
            if (keepAlive) {
                ctx.writeAndFlush(nettyResponse, ctx.voidPromise());
            } else {
                nettyResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(nettyResponse).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException || cause instanceof CodecException) {
                LOG.debug("closing connection {}: {}", ctx.channel(), cause.toString());
            } else {
                eventLoop.unexpectedErrors().report("a connection", cause);
            }
            ctx.close();
        }
    }
}
