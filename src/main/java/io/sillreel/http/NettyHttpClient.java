package io.sillreel.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP/1.1 client on one event loop: a bounded pool of persistent connections for each address, one request at a
 * time on each. A request that outlives its time takes its connection along, since a late answer must not meet the next
 * request.
 */
public final class NettyHttpClient implements HttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    /**
     * A connection without work is closed after so long. A lease leader sends commands to every machine now and then;
     * the connections that this left open would add up to the fleet and take the sockets that the state service needs.
     */
    private static final long IDLE_SWEEP_MICROS = 2_000_000;

    private final EventLoop nettyLoop;
    private final int connectionsPerAddress;
    private final int maxResponseBytes;
    private final Map<String, Pool> pools = new HashMap<>();
    private boolean sweepScheduled;

    /** @param maxAnswerBytes the largest answer that is taken in; what is larger is told as such */
    public NettyHttpClient(EventLoop nettyLoop, int connectionsPerAddress, int maxAnswerBytes) {
        this.nettyLoop = nettyLoop;
        this.connectionsPerAddress = connectionsPerAddress;
        this.maxResponseBytes = maxAnswerBytes;
    }

    @Override
    public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
        Pending pending = new Pending(request);
        if (nettyLoop.inEventLoop()) {
            submit(address, pending, timeoutMicros);
        } else {
            nettyLoop.execute(() -> submit(address, pending, timeoutMicros));
        }
        return pending.future;
    }

    private void submit(String address, Pending pending, long timeoutMicros) {
        Pool pool = pools.computeIfAbsent(address, Pool::new);
        pending.timer = nettyLoop.schedule(() -> pool.expire(pending), timeoutMicros, TimeUnit.MICROSECONDS);
        pool.waiting.add(pending);
        pool.drain();
        if (!sweepScheduled) {
            sweepScheduled = true;
            nettyLoop.schedule(this::sweep, IDLE_SWEEP_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    private void sweep() {
        closeUnused();
        sweepScheduled = !pools.isEmpty();
        if (sweepScheduled) {
            nettyLoop.schedule(this::sweep, IDLE_SWEEP_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /** Closes the connections that have not been used since it was last called. */
    void closeUnused() {
        List.copyOf(pools.values()).forEach(Pool::closeUnused);
    }

    int idleConnections() {
        return pools.values().stream().mapToInt(pool -> pool.idle.size()).sum();
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static final class Pending {
        final HttpRequest request;
        final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
        ScheduledFuture<?> timer;
        Channel channel;

        Pending(HttpRequest request) {
            this.request = request;
        }

        void finish(HttpResponse response) {
            if (timer != null) {
                timer.cancel(false);
            }
            future.complete(response);
        }
    }

    private final class Pool {
        private final String address;
        private final Deque<Pending> waiting = new ArrayDeque<>();
        private final Deque<Channel> idle = new ArrayDeque<>();
        private int open;
        private int connecting;

        Pool(String address) {
            this.address = address;
        }

        void drain() {
            while (!waiting.isEmpty()) {
                Channel channel = idle.pollLast();
                if (channel != null) {
                    if (channel.isActive()) {
                        send(channel, waiting.poll());
                    }
                } else {
                    if (open < connectionsPerAddress && connecting < waiting.size()) {
                        connect();
                    }
                    return;
                }
            }
            if (open == 0 && connecting == 0) {
                pools.remove(address, this);
            }
        }

        void closeUnused() {
            for (Channel channel : List.copyOf(idle)) {
                Answers answers = channel.pipeline().get(Answers.class);
                if (answers != null && answers.unused) {
                    idle.remove(channel);
                    channel.close();
                } else if (answers != null) {
                    answers.unused = true;
                }
            }
        }

        private void connect() {
            open++;
            connecting++;
            new Bootstrap()
                    .group(nettyLoop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(new HttpClientCodec())
                                    .addLast(new Aggregator(maxResponseBytes))
                                    .addLast(new Answers(Pool.this));
                        }
                    })
                    .connect(parse(address))
                    .addListener(result -> {
                        connecting--;
                        Channel channel = ((io.netty.channel.ChannelFuture) result).channel();
                        if (result.isSuccess()) {
                            channel.closeFuture().addListener(closed -> closed(channel));
                            idle.addLast(channel);
                            drain();
                        } else {
                            open--;
                            Pending first = waiting.poll();
                            if (first != null) {
                                first.finish(HttpResponse.notSent());
                            }
                            drain();
                        }
                    });
        }

        private void send(Channel channel, Pending pending) {
            HttpRequest request = pending.request;
            ByteBuf body = Unpooled.wrappedBuffer(request.body());
            DefaultFullHttpRequest nettyRequest = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path(), body);
            nettyRequest.headers().set(HttpHeaderNames.HOST, address);
            if (request.body().length > 0) {
                nettyRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            nettyRequest.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            pending.channel = channel;
            Answers answers = channel.pipeline().get(Answers.class);
            answers.current = pending;
            answers.unused = false;
            channel.writeAndFlush(nettyRequest, channel.voidPromise());
        }

        void expire(Pending pending) {
            if (pending.channel == null) {
                waiting.remove(pending);
                pending.finish(HttpResponse.notSent());
            } else {
                pending.channel.close();
                pending.finish(HttpResponse.noResponse());
            }
        }

        private void closed(Channel channel) {
            open--;
            idle.remove(channel);
            drain();
        }

        void answered(Channel channel, Pending pending, HttpResponse response, boolean keepAlive) {
            if (keepAlive) {
                idle.addLast(channel);
            } else {
                channel.close();
            }
            pending.finish(response);
            drain();
        }
    }

    /** Ends the connection over an answer that is too large, and tells whoever waits for it. */
    private static final class Aggregator extends HttpObjectAggregator {
        Aggregator(int maxAnswerBytes) {
            super(maxAnswerBytes);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.pipeline().get(Answers.class).tooLarge();
            ctx.close();
        }
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Pending current;
        /** True if the connection was idle at the last sweep and has not been used since. */
        private boolean unused;

        Answers(Pool pool) {
            this.pool = pool;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse nettyResponse) {
            Pending pending = current;
            current = null;
            if (pending == null) {
                ctx.close();
                return;
            }
            byte[] body = new byte[nettyResponse.content().readableBytes()];
            nettyResponse.content().readBytes(body);
            int retryAfter = nettyResponse.headers().getInt(HttpHeaderNames.RETRY_AFTER, 0);
            pool.answered(
                    ctx.channel(),
                    pending,
                    new HttpResponse(nettyResponse.status().code(), body, retryAfter),
                    HttpUtil.isKeepAlive(nettyResponse));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish(HttpResponse.noResponse());
        }

        void tooLarge() {
            finish(HttpResponse.responseTooLarge());
        }

        private void finish(HttpResponse response) {
            if (current != null) {
                Pending ended = current;
                current = null;
                ended.finish(response);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
