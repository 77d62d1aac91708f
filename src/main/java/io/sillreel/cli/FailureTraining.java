package io.sillreel.cli;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sillreel.http.Call;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpServer;
import io.sillreel.http.Json;
import io.sillreel.http.NettyLoop;
import io.sillreel.http.Reply;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Causes the failures of connections, peers and callbacks that a controller has to survive, so that the build archives
 * the classes which handling them loads. A class that only a failure needs would else be loaded from its jar long after
 * the start, when an upgrade may have replaced the jar; a class that can't be loaded then ends the event loop.
 *
 * <p>The failures are caused on loopback connections, on an event loop of their own. Each wait has a limit, after which
 * the training goes on with the next failure.
 */
final class FailureTraining {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_BYTES = 16 * 1024;
    /** More than the socket buffers of both sides hold, so that a write is still under way when the peer is gone. */
    private static final int LARGE_BYTES = 8 * 1024 * 1024;

    private static final int PIPELINED = 200;
    private static final int MAX_WAIT_MILLIS = 1_000;
    private static final int PAUSE_MILLIS = 30;
    private static final long TIMEOUT_MICROS = 100_000;
    /** Classes of failures that no connection can be made to show at will, as they depend on the order of events. */
    private static final List<String> NOT_CAUSED = List.of(
            // reading can't be begun, as the selector's key has been cancelled since the last event
            "io.netty.channel.AbstractChannel$AbstractUnsafe$7",
            // what is queued falls below the limit while a write is being failed, which is told by a later event
            "io.netty.channel.ChannelOutboundBuffer$2",
            // a listener closes the connection while its writes are being failed
            "io.netty.channel.ChannelOutboundBuffer$3");

    private static final String CRLF = "\r\n";
    private static final String END = CRLF + CRLF;

    /** What a peer does with a connection that it has accepted. */
    private interface Peer {
        void serve(Socket connection) throws IOException, InterruptedException;
    }

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("failures"), NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final HttpClient client = new HttpClient(eventLoop, 2, MAX_BYTES);
    private Channel listener;
    private int port;

    private FailureTraining() {}

    static void run() throws IOException, InterruptedException {
        loadNotCaused();
        FailureTraining training = new FailureTraining();
        try {
            training.listen();
            training.failuresOfClients();
            training.failuresOfPeers();
            training.failuresOfConnecting();
            training.failuresOfTasks();
        } finally {
            training.shutDownWithOpenConnections();
        }
    }

    private static void loadNotCaused() throws IOException {
        try {
            for (String name : NOT_CAUSED) {
                Class.forName(name, false, FailureTraining.class.getClassLoader());
            }
        } catch (ClassNotFoundException e) {
            throw new IOException(e);
        }
    }

    private void listen() {
        listener = new HttpServer(group, MAX_BYTES, MAX_CONNECTIONS)
                .listen(new InetSocketAddress(LOOPBACK, 0), this::handle);
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private CompletableFuture<Reply> handle(Call call) {
        return switch (call.route()) {
            case "/large" -> CompletableFuture.completedFuture(new Reply(200, new byte[LARGE_BYTES], 0));
            case "/late" -> late();
            case "/failed" -> CompletableFuture.failedFuture(failure());
            case "/thrown" -> throw failure();
            default -> CompletableFuture.completedFuture(new Reply(200, new byte[0], 0));
        };
    }

    private CompletableFuture<Reply> late() {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        eventLoop.schedule(
                () -> reply.complete(new Reply(200, new byte[0], 0)), 2L * PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        return reply;
    }

    /** A failure whose stack trace has all the parts that one can have: a cause and a suppressed exception. */
    private static IllegalStateException failure() {
        IllegalStateException failure =
                new IllegalStateException("caused by the training run of the build", new IOException("the cause"));
        failure.addSuppressed(new IOException("suppressed"));
        return failure;
    }

    private void failuresOfClients() throws IOException, InterruptedException {
        resetWhileIdle();
        resetWhileARequestIsRead();
        resetWhileAnAnswerIsWritten();
        closedBeforeAnAnswerIsWritten();
        inputHalfClosed();
        malformedRequests();
        oversizedRequests();
        closedWithUnreadRequests();
        manyRequestsBeforeAnAnswer();
        malformedJson();
        failingHandlers();
        tooManyConnections();
        tooManyOpenFilesOnAccept();
    }

    private void resetWhileIdle() throws IOException, InterruptedException {
        Socket socket = connect();
        Thread.sleep(PAUSE_MILLIS);
        reset(socket);
    }

    private void resetWhileARequestIsRead() throws IOException, InterruptedException {
        for (String part : List.of("GET / HT", post(100) + "{")) {
            Socket socket = connect();
            send(socket, part);
            Thread.sleep(PAUSE_MILLIS);
            reset(socket);
        }
    }

    private void resetWhileAnAnswerIsWritten() throws IOException, InterruptedException {
        for (String request : List.of(get("/large", ""), get("/large", "Connection: close" + CRLF))) {
            Socket socket = connect();
            send(socket, request);
            Thread.sleep(2 * PAUSE_MILLIS);
            reset(socket);
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private void closedBeforeAnAnswerIsWritten() throws IOException, InterruptedException {
        for (String header : List.of("", "Connection: close" + CRLF)) {
            Socket closed = connect();
            send(closed, get("/late", header));
            closed.close();
            Socket reset = connect();
            send(reset, get("/late", header));
            Thread.sleep(PAUSE_MILLIS);
            reset(reset);
        }
        Thread.sleep(2 * PAUSE_MILLIS);
    }

    private void inputHalfClosed() throws IOException {
        for (String request : List.of("", "GET / HT", get("/", ""), get("/late", ""), post(100) + "{")) {
            try (Socket socket = connect()) {
                send(socket, request);
                socket.shutdownOutput();
                drain(socket);
            }
        }
    }

    private void malformedRequests() throws IOException {
        String tooLong = "x".repeat(MAX_BYTES);
        exchange("\0\1\2\3 garbage" + END);
        exchange("GET / NOTHTTP/x.y" + END);
        exchange(get("/" + tooLong, ""));
        exchange(get("/", "Long: " + tooLong + CRLF));
        exchange(get("/", "Bad\0Name: x" + CRLF));
        exchange(get("/", "Content-Length: x" + CRLF));
        exchange(get("/", "Content-Length: 1" + CRLF + "Content-Length: 2" + CRLF));
        exchange(get("/", "Transfer-Encoding: chunked" + CRLF) + "zz" + CRLF);
        exchange(get("/", "Transfer-Encoding: chunked" + CRLF) + "1;a=\0" + CRLF);
        exchange(get("/", "Transfer-Encoding: chunked" + CRLF) + "1" + CRLF + "{" + CRLF + "0" + CRLF + "\0" + END);
    }

    private void oversizedRequests() throws IOException {
        String body = "x".repeat(2 * MAX_BYTES);
        exchange(post(body.length()) + body);
        exchange(get("/", "Transfer-Encoding: chunked" + CRLF) + "8000" + CRLF + body + CRLF + "0" + END);
        exchange(get("/", "Expect: 100-continue" + CRLF + "Content-Length: 40000" + CRLF));
        exchange(get("/", "Expect: 100-continue" + CRLF + "Content-Length: 1" + CRLF) + "{");
        exchange(get("/", "Expect: 200-ok" + CRLF + "Content-Length: 1" + CRLF));
    }

    /** The connection is closed by the first answer, within the reading of what follows. */
    private void closedWithUnreadRequests() throws IOException {
        String request = get("/", "Connection: close" + CRLF);
        exchange(request + request.repeat(LARGE_BYTES / 16 / request.length()));
        exchange("GET / HTTP/1.0" + END + get("/", ""));
    }

    /** Past some dozens of unanswered requests on a connection Netty keeps their methods in another way. */
    private void manyRequestsBeforeAnAnswer() throws IOException {
        exchange(get("/late", "").repeat(PIPELINED));
    }

    private static void malformedJson() {
        String deep = "[".repeat(2_000);
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
                deep,
                "\"\\x\"",
                "\"\1\"");
        for (String body : bodies) {
            Json.parse(body.getBytes(StandardCharsets.UTF_8));
        }
        Json.parse(new byte[] {'"', (byte) 0xC3, '"'});
        Json.parse(new byte[] {'"', (byte) 0xFF, '"'});
    }

    private void failingHandlers() throws IOException {
        exchange(get("/failed", ""));
        exchange(get("/thrown", ""));
    }

    private void tooManyConnections() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
                sockets.add(connect());
            }
            drain(sockets.get(sockets.size() - 1));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Raised as the event loop does it: to use up the files of the machine itself would disturb others. */
    private void tooManyOpenFilesOnAccept() {
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
    }

    private void failuresOfPeers() throws IOException, InterruptedException {
        String head = "HTTP/1.1 200 OK" + CRLF;
        String large = "x".repeat(8 * MAX_BYTES);
        callPeer(FailureTraining::reset);
        callPeer(Socket::close);
        callPeer(Socket::shutdownOutput);
        callPeer(peer -> answer(peer, ""));
        callPeer(peer -> answerAndReset(peer, "HTTP/1."));
        callPeer(peer -> answerAndReset(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> answerAndReset(peer, head + "Content-Length: 0" + END));
        callPeer(peer -> answerAndClose(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> answerAndClose(peer, head + CRLF + "{}"));
        callPeer(peer -> answerAndClose(peer, head + "Content-Length: 0" + END));
        callPeer(peer -> answerAndShutDownOutput(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> answer(peer, "\0\1\2\3 garbage" + END));
        callPeer(peer -> answer(peer, head + "Content-Length: x" + END));
        callPeer(peer -> answer(peer, head + "Transfer-Encoding: chunked" + END + "zz" + CRLF));
        callPeer(peer -> answer(peer, head + "Long: " + large + END));
        callPeer(peer -> answer(peer, head + "Content-Length: " + large.length() + END + large));
        callPeer(peer -> answer(peer, head + "Transfer-Encoding: chunked" + END + "20000" + CRLF + large));
        callPeer(peer -> answer(peer, "HTTP/1.1 100 Continue" + END + head + "Content-Length: 0" + END));
        callPeer(peer -> answer(peer, (head + "Content-Length: 0" + END).repeat(2)));
        answersAfterAClose();
        resetWhileARequestIsWritten();
    }

    /** The connection is closed by the first answer, while more than one read's worth of bytes follows it. */
    private void answersAfterAClose() throws IOException, InterruptedException {
        String answer = "HTTP/1.1 200 OK" + CRLF + "Connection: close" + CRLF + "Content-Length: 0" + END;
        callPeer(peer -> answer(peer, answer.repeat(LARGE_BYTES / 16 / answer.length())));
    }

    private void resetWhileARequestIsWritten() throws IOException, InterruptedException {
        callPeer(new Call("POST", "/", new byte[LARGE_BYTES]), peer -> {
            Thread.sleep(PAUSE_MILLIS);
            reset(peer);
        });
    }

    private void failuresOfConnecting() throws IOException, InterruptedException {
        connectionRefused();
        connectTimeout();
        tooManyOpenFilesOnConnect();
    }

    private void connectionRefused() throws IOException, InterruptedException {
        int refused;
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            refused = socket.getLocalPort();
        }
        await(client.call(address(refused), new Call("GET", "/", new byte[0]), TIMEOUT_MICROS));
    }

    /** Connects to a listener whose queue of connections is full; a shorter limit than the client's saves time. */
    private void connectTimeout() throws IOException, InterruptedException {
        try (ServerSocket full = new ServerSocket(0, 1, LOOPBACK)) {
            InetSocketAddress address = new InetSocketAddress(LOOPBACK, full.getLocalPort());
            List<Channel> channels = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                channels.add(bootstrap(NioSocketChannel::new).connect(address).channel());
            }
            Thread.sleep(4 * PAUSE_MILLIS);
            channels.forEach(Channel::close);
        }
    }

    /** A socket that can't be opened, as when the process has no file left. */
    private void tooManyOpenFilesOnConnect() throws InterruptedException {
        ChannelFactory<Channel> factory = () -> {
            throw new ChannelException("Failed to open a socket.", new IOException("Too many open files"));
        };
        bootstrap(factory)
                .connect(new InetSocketAddress(LOOPBACK, port))
                .addListener(failed -> {})
                .await(MAX_WAIT_MILLIS);
    }

    private Bootstrap bootstrap(ChannelFactory<? extends Channel> factory) {
        return new Bootstrap()
                .group(eventLoop)
                .channelFactory(factory)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PAUSE_MILLIS)
                .handler(new ChannelInboundHandlerAdapter());
    }

    private void failuresOfTasks() throws InterruptedException {
        NettyLoop loop = new NettyLoop(eventLoop);
        loop.execute(FailureTraining::fail);
        loop.after(0, FailureTraining::fail);
        eventLoop.execute(FailureTraining::fail);
        eventLoop.schedule(FailureTraining::fail, 0, TimeUnit.MILLISECONDS);
        eventLoop.newSucceededFuture(null).addListener(done -> fail());
        CompletableFuture<Reply> reply =
                client.call(address(port), new Call("GET", "/", new byte[0]), MAX_WAIT_MILLIS * 1_000L);
        await(reply.thenApply(answer -> {
            throw failure();
        }));
    }

    private static void fail() {
        throw failure();
    }

    private void shutDownWithOpenConnections() throws IOException, InterruptedException {
        try (ServerSocket silent = new ServerSocket(0, 1, LOOPBACK);
                Socket idle = new Socket()) {
            if (port > 0) {
                idle.connect(new InetSocketAddress(LOOPBACK, port));
            }
            CompletableFuture<Reply> unanswered =
                    client.call(address(silent.getLocalPort()), new Call("GET", "/", new byte[0]), 1_000_000);
            Thread.sleep(PAUSE_MILLIS);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2 * MAX_WAIT_MILLIS);
            unanswered.cancel(false);
        }
        try {
            eventLoop.execute(() -> {});
        } catch (RejectedExecutionException e) {
            // expected: the event loop has ended
        }
    }

    /** Asks a peer that treats its one connection as told, and waits for the end of the call. */
    private void callPeer(Peer peer) throws IOException, InterruptedException {
        callPeer(new Call("POST", "/", new byte[10]), peer);
    }

    private void callPeer(Call call, Peer peer) throws IOException, InterruptedException {
        try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
            server.setSoTimeout(MAX_WAIT_MILLIS);
            CompletableFuture<Reply> reply = client.call(address(server.getLocalPort()), call, TIMEOUT_MICROS);
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(MAX_WAIT_MILLIS);
                peer.serve(connection);
                await(reply);
            } catch (IOException e) {
                // the client has ended the connection first
            }
        }
    }

    private static void await(CompletableFuture<Reply> reply) throws InterruptedException {
        try {
            reply.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // the failure has been met, or has not come about on a very busy machine
        }
    }

    private static void answer(Socket peer, String answer) throws IOException {
        peer.getInputStream().read(new byte[1_024]);
        send(peer, answer);
    }

    private static void answerAndReset(Socket peer, String answer) throws IOException, InterruptedException {
        answer(peer, answer);
        Thread.sleep(PAUSE_MILLIS);
        reset(peer);
        Thread.sleep(PAUSE_MILLIS);
    }

    private static void answerAndClose(Socket peer, String answer) throws IOException {
        answer(peer, answer);
        peer.close();
    }

    private static void answerAndShutDownOutput(Socket peer, String answer) throws IOException {
        answer(peer, answer);
        peer.shutdownOutput();
    }

    /** Sends the bytes and reads until the server closes the connection or has nothing more to say. */
    private void exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            send(socket, request);
            drain(socket);
        } catch (IOException e) {
            // the server has ended the connection before all was sent
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(LOOPBACK, port);
        socket.setSoTimeout(3 * PAUSE_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static void drain(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[MAX_BYTES];
        try {
            while (input.read(buffer) >= 0) {
                // what is answered does not matter
            }
        } catch (IOException e) {
            // the server has reset the connection, or keeps it open
        }
    }

    /** Closes the connection with a reset instead of an orderly end. */
    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String get(String path, String headers) {
        return "GET " + path + " HTTP/1.1" + CRLF + "Host: localhost" + CRLF + headers + CRLF;
    }

    private static String post(int contentLength) {
        return "POST / HTTP/1.1" + CRLF + "Host: localhost" + CRLF + "Content-Length: " + contentLength + END;
    }

    private static String address(int port) {
        return LOOPBACK.getHostAddress() + ":" + port;
    }
}
