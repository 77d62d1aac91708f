package io.sillreel.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.sillreel.http.RequestQueue.RequestClass;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the client and the server over real sockets: persistent connections, limits and failures. */
class HttpTest {
    private static final long TIMEOUT_MICROS = 20_000_000;

    private static final long SHORT_TIMEOUT_MICROS = 3_000_000;
    private static final int MAX_RESPONSE_BYTES = 100_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final NettyEventLoop eventLoop = new NettyEventLoop(group.next());
    private final NettyHttpClient client = new NettyHttpClient(group.next(), 2, MAX_RESPONSE_BYTES);

    @AfterEach
    void shutDownEventLoops() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private String listen(HttpHandler handler) {
        Channel channel = new NettyHttpServer(eventLoop, NettyHttpServer.MAX_BODY_BYTES, 10)
                .listen(new InetSocketAddress("127.0.0.1", 0), handler);
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Test
    void matchesResponsesToRequestsOnSharedConnections() {
        String address = listen(request -> CompletableFuture.completedFuture(
                new HttpResponse(200, request.path().getBytes(java.nio.charset.StandardCharsets.US_ASCII), 7)));
        List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            responses.add(client.send(address, HttpRequest.get("/" + i), TIMEOUT_MICROS));
        }
        for (int i = 0; i < 50; i++) {
            assertThat(new String(responses.get(i).join().body(), java.nio.charset.StandardCharsets.US_ASCII))
                    .isEqualTo("/" + i);
            assertThat(responses.get(i).join().retryAfterSeconds()).isEqualTo(7);
        }
    }

    @Test
    void rejectsRequestBodyOver64KiB() {
        String address = listen(request -> CompletableFuture.completedFuture(HttpResponse.of(200, Json.object())));
        HttpRequest tooLarge = new HttpRequest("POST", "/", new byte[NettyHttpServer.MAX_BODY_BYTES + 1]);
        assertThat(client.send(address, tooLarge, TIMEOUT_MICROS).join().status())
                .isEqualTo(400);
        HttpRequest atLimit = new HttpRequest("POST", "/", new byte[NettyHttpServer.MAX_BODY_BYTES]);
        assertThat(client.send(address, atLimit, TIMEOUT_MICROS).join().status())
                .isEqualTo(200);
    }

    /** Guards against exhausting the heap: the service does not limit the size of a watch response. */
    @Test
    void reportsOversizedResponseAndServesNextRequest() {
        String address = listen(request -> CompletableFuture.completedFuture(new HttpResponse(
                200, new byte[request.route().equals("/large") ? MAX_RESPONSE_BYTES + 1 : MAX_RESPONSE_BYTES], 0)));
        assertThat(client.send(address, HttpRequest.get("/large"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(HttpResponse.RESPONSE_TOO_LARGE);
        assertThat(client.send(address, HttpRequest.get("/"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(200);
    }

    /** Guards against refused connections when all worker agents connect to the only remaining controller at once. */
    @Test
    void acceptBacklogMatchesConnectionLimit() {
        NettyHttpServer server = new NettyHttpServer(eventLoop, NettyHttpServer.MAX_BODY_BYTES, 3_000);
        NioServerSocketChannel channel =
                (NioServerSocketChannel) server.listen(new InetSocketAddress("127.0.0.1", 0), request -> null);
        assertThat(channel.config().getBacklog()).isEqualTo(3_000);
    }

    @Test
    void workerConnectionLimitLeavesConnectionsForOtherClients() {
        NettyHttpServer server = new NettyHttpServer(
                eventLoop,
                NettyHttpServer.MAX_BODY_BYTES,
                10,
                request -> request.route().equals("/beat") ? RequestClass.WORKERS : RequestClass.IMMEDIATE,
                new RequestQueue(eventLoop, MAX_RESPONSE_BYTES),
                2);
        Channel listening = server.listen(
                new InetSocketAddress("127.0.0.1", 0),
                request -> CompletableFuture.completedFuture(HttpResponse.of(200, Json.object())));
        String address = "127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort();
        List<NettyHttpClient> workers = List.of(
                new NettyHttpClient(group.next(), 1, MAX_RESPONSE_BYTES),
                new NettyHttpClient(group.next(), 1, MAX_RESPONSE_BYTES),
                new NettyHttpClient(group.next(), 1, MAX_RESPONSE_BYTES));
        assertThat(workers.stream()
                        .map(worker -> worker.send(address, HttpRequest.get("/beat"), TIMEOUT_MICROS)
                                .join()
                                .status()))
                .containsExactly(200, 200, 503);
        assertThat(client.send(address, HttpRequest.get("/up"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(200);
        assertThat(workers.get(0)
                        .send(address, HttpRequest.get("/beat"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(200);
    }

    @Test
    void closesConnectionsIdleSincePreviousSweep() {
        String address = listen(request -> CompletableFuture.completedFuture(HttpResponse.of(200, Json.object())));
        client.send(address, HttpRequest.get("/"), TIMEOUT_MICROS).join();
        assertThat(connectionsAfterSweep())
                .as("connection used since the previous sweep")
                .isEqualTo(1);
        client.send(address, HttpRequest.get("/"), TIMEOUT_MICROS).join();
        assertThat(connectionsAfterSweep()).isEqualTo(1);
        assertThat(connectionsAfterSweep()).isZero();
        assertThat(client.send(address, HttpRequest.get("/"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(200);
    }

    private int connectionsAfterSweep() {
        return group.next()
                .submit(() -> {
                    client.closeUnused();
                    return client.idleConnections();
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Test
    void respondsWith503WhenHandlerFails() {
        String address = listen(request -> CompletableFuture.failedFuture(new IllegalStateException("on purpose")));
        assertThat(client.send(address, HttpRequest.get("/"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(503);
    }

    @Test
    void reportsNotSentWhenConnectionIsRefused() {
        Channel channel =
                new NettyHttpServer(eventLoop, 10, 10).listen(new InetSocketAddress("127.0.0.1", 0), request -> null);
        int port = ((InetSocketAddress) channel.localAddress()).getPort();
        channel.close().syncUninterruptibly();
        assertThat(client.send("127.0.0.1:" + port, HttpRequest.get("/"), TIMEOUT_MICROS)
                        .join()
                        .status())
                .isEqualTo(HttpResponse.NOT_SENT);
    }

    /** Guards against a malformed request whose error left its client, and all later clients, without a response. */
    @Test
    void answersWith503WhenAHandlerFailsWithAnErrorAndServesTheNextRequest() {
        NettyHttpServer server = new NettyHttpServer(
                eventLoop,
                MAX_RESPONSE_BYTES,
                10,
                request -> request.route().equals("/immediate") ? RequestClass.IMMEDIATE : RequestClass.USERS,
                new RequestQueue(eventLoop, MAX_RESPONSE_BYTES),
                0);
        Channel channel = server.listen(new InetSocketAddress("127.0.0.1", 0), request -> {
            if (request.method().equals("POST")) {
                throw new StackOverflowError("nested too deep");
            }
            return CompletableFuture.completedFuture(HttpResponse.of(200, Json.object()));
        });
        String address = "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
        for (String path : List.of("/queued", "/immediate")) {
            assertThat(client.send(address, HttpRequest.post(path, Json.object()), SHORT_TIMEOUT_MICROS)
                            .join()
                            .status())
                    .isEqualTo(503);
            assertThat(client.send(address, HttpRequest.get(path), SHORT_TIMEOUT_MICROS)
                            .join()
                            .status())
                    .isEqualTo(200);
        }
        assertThat(eventLoop.unexpectedErrors().count()).isEqualTo(2);
    }

    /** Guards the scheduling cycle against an address that a machine reports and that is none. */
    @Test
    void completesRequestToAMalformedAddressWithoutSendingIt() {
        for (String address : List.of("", "nowhere", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999", "name.invalid:80")) {
            assertThat(client.send(address, HttpRequest.get("/"), SHORT_TIMEOUT_MICROS))
                    .succeedsWithin(SHORT_TIMEOUT_MICROS, TimeUnit.MICROSECONDS)
                    .returns(HttpResponse.NOT_SENT, HttpResponse::status);
        }
    }
}
