package io.sillreel.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The connections of a {@link NettyHttpClient} to one address, and the queue of requests that wait for a connection.
 * Confined to the client's event loop.
 */
final class ConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_PORT = 65_535;
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

    private final NettyHttpClient client;
    private final EventLoop nettyLoop;
    private final String address;
    private final int maxConnections;
    private final int maxResponseBytes;
    private final Deque<PendingExchange> waiting = new ArrayDeque<>();
    private final Deque<Channel> idle = new ArrayDeque<>();
    /** Number of connections that are open or being opened. */
    private int openCount;

    private int connectingCount;

    /** @param client removes the pool once it has neither connections nor requests */
    ConnectionPool(
            NettyHttpClient client, EventLoop nettyLoop, String address, int maxConnections, int maxResponseBytes) {
        this.client = client;
        this.nettyLoop = nettyLoop;
        this.address = address;
        this.maxConnections = maxConnections;
        this.maxResponseBytes = maxResponseBytes;
    }

    String address() {
        return address;
    }

    int idleCount() {
        return idle.size();
    }

    /** Sends the request on an idle connection, or queues it until a connection is available. */
    void submit(PendingExchange exchange) {
        waiting.add(exchange);
        sendWaiting();
    }

    /** Completes an exchange that has timed out. */
    void expire(PendingExchange exchange) {
        if (exchange.channel() == null) {
            waiting.remove(exchange);
            exchange.complete(HttpResponse.notSent());
        } else {
            // On a connection kept open, a late response would be matched with the next request.
            exchange.channel().close();
            exchange.complete(HttpResponse.noResponse());
        }
    }

    /** Completes an exchange and makes its connection available again, if the server keeps it open. */
    void complete(Channel channel, PendingExchange exchange, HttpResponse response, boolean keepAlive) {
        if (keepAlive) {
            idle.addLast(channel);
        } else {
            channel.close();
        }
        exchange.complete(response);
        sendWaiting();
    }

    /** Closes the idle connections that have not been used since the previous call. */
    void closeUnused() {
        for (Channel channel : List.copyOf(idle)) {
            HttpResponseHandler handler = channel.pipeline().get(HttpResponseHandler.class);
            if (handler != null && !handler.clearUsedSinceSweep()) {
                idle.remove(channel);
                channel.close();
            }
        }
    }

    private void sendWaiting() {
        while (!waiting.isEmpty()) {
            Channel channel = idle.pollLast();
            if (channel == null) {
                if (openCount < maxConnections && connectingCount < waiting.size()) {
                    connect();
                }
                return;
            }
            if (channel.isActive()) {
                send(channel, waiting.poll());
            }
        }
        if (openCount == 0 && connectingCount == 0) {
            client.remove(this);
        }
    }

    private void connect() {
        openCount++;
        connectingCount++;
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
                                .addLast(new HttpResponseHandler.Aggregator(maxResponseBytes))
                                .addLast(new HttpResponseHandler(ConnectionPool.this));
                    }
                })
                .connect(socketAddress())
                .addListener(result -> {
                    connectingCount--;
                    if (result.isSuccess()) {
                        handleConnected(((ChannelFuture) result).channel());
                    } else {
                        handleConnectFailed();
                    }
                });
    }

    private void handleConnected(Channel channel) {
        channel.closeFuture().addListener(closed -> handleClosed(channel));
        idle.addLast(channel);
        sendWaiting();
    }

    /** Fails one waiting request for each failed connection attempt; the others trigger new attempts. */
    private void handleConnectFailed() {
        openCount--;
        PendingExchange first = waiting.poll();
        if (first != null) {
            first.complete(HttpResponse.notSent());
        }
        sendWaiting();
    }

    private void handleClosed(Channel channel) {
        openCount--;
        idle.remove(channel);
        sendWaiting();
    }

    private void send(Channel channel, PendingExchange exchange) {
        FullHttpRequest nettyRequest = nettyRequest(exchange.request());
        exchange.setChannel(channel);
        channel.pipeline().get(HttpResponseHandler.class).begin(exchange);
        channel.writeAndFlush(nettyRequest, channel.voidPromise());
    }

    private FullHttpRequest nettyRequest(HttpRequest request) {
        FullHttpRequest nettyRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        nettyRequest.headers().set(HttpHeaderNames.HOST, address);
        if (request.body().length > 0) {
            nettyRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        nettyRequest.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return nettyRequest;
    }

    /** True if the text is an IP address and a port. Host names are not looked up, which would block the event loop. */
    static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0
                && NetUtil.isValidIpV4Address(text.substring(0, colon))
                && PORT.matcher(text.substring(colon + 1)).matches()
                && Integer.parseInt(text.substring(colon + 1)) <= MAX_PORT;
    }

    private InetSocketAddress socketAddress() {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
