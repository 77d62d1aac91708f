package io.sillreel.cli;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.NettyEventLoop;
import io.sillreel.http.NettyHttpClient;
import io.sillreel.http.NettyHttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Causes the failures of connections, peers and callbacks that a controller has to survive, so that the classes which
 * handle them are archived. Otherwise a class that is needed only after a failure would be loaded from its jar long
 * after the start, when an upgrade may have replaced the jar; a class that can't be loaded then ends the event loop.
 *
 * <p>The failures occur on loopback connections, on a separate event loop. Each wait has a time limit, after which the
 * training continues with the next failure.
 */
final class FailureTraining {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final int MAX_CONNECTIONS = 8;
    static final int MAX_BYTES = 16 * 1024;
    /** Exceeds the socket buffers of both ends, so that a write is still in progress when the peer disconnects. */
    static final int LARGE_BYTES = 8 * 1024 * 1024;

    static final int MAX_WAIT_MILLIS = 1_000;
    static final int PAUSE_MILLIS = 30;
    /** Classes for failures that can't be caused reliably, because they depend on the order of events. */
    private static final List<String> TIMING_DEPENDENT_CLASSES = List.of(
            // a read can't begin because the selection key was cancelled after the last event
            "io.netty.channel.AbstractChannel$AbstractUnsafe$7",
            // the outbound buffer drains below its low watermark while a write fails; the event is fired later
            "io.netty.channel.ChannelOutboundBuffer$2",
            // a listener closes the channel while its writes are being failed
            "io.netty.channel.ChannelOutboundBuffer$3",
            // only the output side of a connection is shut down, after a failed write
            "io.netty.channel.socket.ChannelOutputShutdownEvent",
            "io.netty.channel.socket.ChannelOutputShutdownException");

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("failures"), NioIoHandler.newFactory());
    private final io.netty.channel.EventLoop nettyLoop = group.next();
    private final NettyHttpClient client = new NettyHttpClient(nettyLoop, 2, MAX_BYTES);
    private Channel listener;
    private int port;

    private FailureTraining() {}

    static void run() throws IOException, InterruptedException {
        loadTimingDependentClasses();
        FailureTraining training = new FailureTraining();
        try {
            training.listen();
            new ClientFailures(training.port).causeAll();
            training.tooManyOpenFilesOnAccept();
            new PeerFailures(training.nettyLoop, training.client).causeAll();
            malformedJson();
            training.failingTasks();
        } finally {
            training.shutDownWithOpenConnections();
        }
    }

    private static void loadTimingDependentClasses() throws IOException {
        try {
            for (String name : TIMING_DEPENDENT_CLASSES) {
                Class.forName(name, false, FailureTraining.class.getClassLoader());
            }
        } catch (ClassNotFoundException e) {
            throw new IOException(e);
        }
    }

    private void listen() {
        listener = new NettyHttpServer(new NettyEventLoop(nettyLoop), MAX_BYTES, MAX_CONNECTIONS)
                .listen(new InetSocketAddress(LOOPBACK, 0), this::handle);
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private CompletableFuture<HttpResponse> handle(HttpRequest request) {
        return switch (request.route()) {
            case "/large" -> CompletableFuture.completedFuture(new HttpResponse(200, new byte[LARGE_BYTES], 0));
            case "/late" -> delayedResponse();
            case "/failed" -> CompletableFuture.failedFuture(newFailure());
            case "/thrown" -> throw newFailure();
            default -> CompletableFuture.completedFuture(new HttpResponse(200, new byte[0], 0));
        };
    }

    private CompletableFuture<HttpResponse> delayedResponse() {
        CompletableFuture<HttpResponse> reply = new CompletableFuture<>();
        nettyLoop.schedule(
                () -> reply.complete(new HttpResponse(200, new byte[0], 0)), 2L * PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        return reply;
    }

    /** An exception whose stack trace includes a cause and a suppressed exception. */
    private static IllegalStateException newFailure() {
        IllegalStateException failure =
                new IllegalStateException("caused by the training run of the build", new IOException("the cause"));
        failure.addSuppressed(new IOException("suppressed"));
        return failure;
    }

    private static void malformedJson() throws IOException {
        List<String> bodies = List.of(
                "",
                "{",
                "{\"a",
                "{\"a\":}",
                "{a:1}",
                "[1,]",
                "]",
                "nonsense",
                "01",
                "1e",
                "1e999999999",
                "\"\\x\"",
                "\"\1\"");
        for (String body : bodies) {
            Json.parse(body.getBytes(StandardCharsets.UTF_8));
        }
        Json.parse(new byte[] {'"', (byte) 0xC3, '"'});
        Json.parse(new byte[] {'"', (byte) 0xFF, '"'});
        excessiveNesting();
    }

    /** Reads token by token: building a tree this deep needs a larger stack than the run command configures. */
    private static void excessiveNesting() throws IOException {
        try (JsonParser parser = Json.createParser("[".repeat(MAX_BYTES).getBytes(StandardCharsets.UTF_8))) {
            while (parser.nextToken() != null) {
                // the parser rejects the first level beyond its limit
            }
        } catch (JacksonException e) {
            // expected
        }
    }

    /**
     * Fired into the pipeline as the event loop does it: exhausting the file descriptors would disturb other processes.
     */
    private void tooManyOpenFilesOnAccept() {
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
    }

    private void failingTasks() throws InterruptedException {
        NettyEventLoop loop = new NettyEventLoop(nettyLoop);
        loop.execute(FailureTraining::throwFailure);
        loop.schedule(0, FailureTraining::throwFailure);
        nettyLoop.execute(FailureTraining::throwFailure);
        nettyLoop.schedule(FailureTraining::throwFailure, 0, TimeUnit.MILLISECONDS);
        nettyLoop.newSucceededFuture(null).addListener(done -> throwFailure());
        CompletableFuture<HttpResponse> reply =
                client.send(address(port), new HttpRequest("GET", "/", new byte[0]), MAX_WAIT_MILLIS * 1_000L);
        await(reply.thenApply(response -> {
            throw newFailure();
        }));
    }

    private static void throwFailure() {
        throw newFailure();
    }

    private void shutDownWithOpenConnections() throws IOException, InterruptedException {
        try (ServerSocket unresponsiveServer = new ServerSocket(0, 1, LOOPBACK);
                Socket idleConnection = new Socket()) {
            if (port > 0) {
                idleConnection.connect(new InetSocketAddress(LOOPBACK, port));
            }
            CompletableFuture<HttpResponse> pendingResponse = client.send(
                    address(unresponsiveServer.getLocalPort()), new HttpRequest("GET", "/", new byte[0]), 1_000_000);
            Thread.sleep(PAUSE_MILLIS);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2 * MAX_WAIT_MILLIS);
            pendingResponse.cancel(false);
        }
        try {
            nettyLoop.execute(() -> {});
        } catch (RejectedExecutionException e) {
            // expected: the event loop has ended
        }
    }

    static void await(CompletableFuture<HttpResponse> reply) throws InterruptedException {
        try {
            reply.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // the failure occurred, or did not occur in time on a very busy machine
        }
    }

    static void send(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Closes the connection with a TCP reset instead of an orderly shutdown. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    static String address(int port) {
        return LOOPBACK.getHostAddress() + ":" + port;
    }
}
