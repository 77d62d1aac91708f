package io.sillreel.cli;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.NettyHttpClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Causes failures on the server side of a client: malformed or missing responses and failed connections. */
final class PeerFailures {
    private static final long TIMEOUT_MICROS = 100_000;
    private static final String CRLF = "\r\n";
    private static final String END = CRLF + CRLF;

    /** How a peer handles a connection that it has accepted. */
    private interface PeerBehavior {
        void serve(Socket connection) throws IOException, InterruptedException;
    }

    private final io.netty.channel.EventLoop nettyLoop;
    private final NettyHttpClient client;

    /** @param client a client that runs on the event loop */
    PeerFailures(io.netty.channel.EventLoop nettyLoop, NettyHttpClient client) {
        this.nettyLoop = nettyLoop;
        this.client = client;
    }

    void causeAll() throws IOException, InterruptedException {
        String head = "HTTP/1.1 200 OK" + CRLF;
        String large = "x".repeat(8 * FailureTraining.MAX_BYTES);
        callPeer(FailureTraining::reset);
        callPeer(Socket::close);
        callPeer(Socket::shutdownOutput);
        callPeer(peer -> respond(peer, ""));
        callPeer(peer -> respondAndReset(peer, "HTTP/1."));
        callPeer(peer -> respondAndReset(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> respondAndReset(peer, head + "Content-Length: 0" + END));
        callPeer(peer -> respondAndClose(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> respondAndClose(peer, head + CRLF + "{}"));
        callPeer(peer -> respondAndClose(peer, head + "Content-Length: 0" + END));
        callPeer(peer -> respondAndShutDownOutput(peer, head + "Content-Length: 9" + END + "{"));
        callPeer(peer -> respond(peer, "\0\1\2\3 garbage" + END));
        callPeer(peer -> respond(peer, head + "Content-Length: x" + END));
        callPeer(peer -> respond(peer, head + "Transfer-Encoding: chunked" + END + "zz" + CRLF));
        callPeer(peer -> respond(peer, head + "Long: " + large + END));
        callPeer(peer -> respond(peer, head + "Content-Length: " + large.length() + END + large));
        callPeer(peer -> respond(peer, head + "Transfer-Encoding: chunked" + END + "20000" + CRLF + large));
        callPeer(peer -> respond(peer, "HTTP/1.1 100 Continue" + END + head + "Content-Length: 0" + END));
        callPeer(peer -> respond(peer, (head + "Content-Length: 0" + END).repeat(2)));
        responsesAfterClose();
        resetDuringRequestWrite();
        connectionRefused();
        connectTimeout();
        tooManyOpenFilesOnConnect();
    }

    /** The first response closes the connection, while more data than one read takes in follows it. */
    private void responsesAfterClose() throws IOException, InterruptedException {
        String response = "HTTP/1.1 200 OK" + CRLF + "Connection: close" + CRLF + "Content-Length: 0" + END;
        callPeer(peer -> respond(peer, response.repeat(FailureTraining.LARGE_BYTES / 16 / response.length())));
    }

    private void resetDuringRequestWrite() throws IOException, InterruptedException {
        callPeer(new HttpRequest("POST", "/", new byte[FailureTraining.LARGE_BYTES]), peer -> {
            Thread.sleep(FailureTraining.PAUSE_MILLIS);
            FailureTraining.reset(peer);
        });
    }

    private void connectionRefused() throws IOException, InterruptedException {
        int refused;
        try (ServerSocket socket = new ServerSocket(0, 1, FailureTraining.LOOPBACK)) {
            refused = socket.getLocalPort();
        }
        HttpRequest request = new HttpRequest("GET", "/", new byte[0]);
        FailureTraining.await(client.send(FailureTraining.address(refused), request, TIMEOUT_MICROS));
    }

    /** Connects to a server whose accept queue is full; a shorter timeout than the client's saves time. */
    private void connectTimeout() throws IOException, InterruptedException {
        try (ServerSocket full = new ServerSocket(0, 1, FailureTraining.LOOPBACK)) {
            InetSocketAddress address = new InetSocketAddress(FailureTraining.LOOPBACK, full.getLocalPort());
            List<Channel> channels = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                channels.add(bootstrap(NioSocketChannel::new).connect(address).channel());
            }
            Thread.sleep(4 * FailureTraining.PAUSE_MILLIS);
            channels.forEach(Channel::close);
        }
    }

    /** Simulates a socket that can't be opened because the process is out of file descriptors. */
    private void tooManyOpenFilesOnConnect() throws InterruptedException {
        ChannelFactory<Channel> factory = () -> {
            throw new ChannelException("Failed to open a socket.", new IOException("Too many open files"));
        };
        bootstrap(factory)
                .connect(new InetSocketAddress(FailureTraining.LOOPBACK, 1))
                .addListener(failed -> {})
                .await(FailureTraining.MAX_WAIT_MILLIS);
    }

    private Bootstrap bootstrap(ChannelFactory<? extends Channel> factory) {
        return new Bootstrap()
                .group(nettyLoop)
                .channelFactory(factory)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, FailureTraining.PAUSE_MILLIS)
                .handler(new ChannelInboundHandlerAdapter());
    }

    /** Sends a request to a peer that handles its single connection as given, and waits until the call has ended. */
    private void callPeer(PeerBehavior peer) throws IOException, InterruptedException {
        callPeer(new HttpRequest("POST", "/", new byte[10]), peer);
    }

    private void callPeer(HttpRequest request, PeerBehavior peer) throws IOException, InterruptedException {
        try (ServerSocket server = new ServerSocket(0, 1, FailureTraining.LOOPBACK)) {
            server.setSoTimeout(FailureTraining.MAX_WAIT_MILLIS);
            String address = FailureTraining.address(server.getLocalPort());
            CompletableFuture<HttpResponse> reply = client.send(address, request, TIMEOUT_MICROS);
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(FailureTraining.MAX_WAIT_MILLIS);
                peer.serve(connection);
                FailureTraining.await(reply);
            } catch (IOException e) {
                // the client closed the connection first
            }
        }
    }

    private static void respond(Socket peer, String response) throws IOException {
        peer.getInputStream().read(new byte[1_024]);
        FailureTraining.send(peer, response);
    }

    private static void respondAndReset(Socket peer, String response) throws IOException, InterruptedException {
        respond(peer, response);
        Thread.sleep(FailureTraining.PAUSE_MILLIS);
        FailureTraining.reset(peer);
        Thread.sleep(FailureTraining.PAUSE_MILLIS);
    }

    private static void respondAndClose(Socket peer, String response) throws IOException {
        respond(peer, response);
        peer.close();
    }

    private static void respondAndShutDownOutput(Socket peer, String response) throws IOException {
        respond(peer, response);
        peer.shutdownOutput();
    }
}
