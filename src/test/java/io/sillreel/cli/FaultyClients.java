package io.sillreel.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Clients that abort connections, or send malformed or oversized requests to a daemon. */
final class FaultyClients {
    private static final int PAUSE_MILLIS = 50;
    private static final int CONNECTION_COUNT = 150;
    private static final String HTTP_VERSION_AND_HOST = " HTTP/1.1\r\nHost: localhost\r\n";
    private static final String CLOSE = "Connection: close\r\n\r\n";
    private static final List<String> REQUESTS = List.of(
            "",
            "GET / HT",
            "garbage\r\n\r\n",
            "GET /up" + HTTP_VERSION_AND_HOST + "\r\n",
            "GET /up" + HTTP_VERSION_AND_HOST + CLOSE,
            ("GET /up" + HTTP_VERSION_AND_HOST + CLOSE).repeat(10_000),
            ("GET /metrics" + HTTP_VERSION_AND_HOST + "\r\n").repeat(300),
            "GET /" + "x".repeat(100_000) + HTTP_VERSION_AND_HOST + "\r\n",
            "GET /" + HTTP_VERSION_AND_HOST + "Long: " + "x".repeat(100_000) + "\r\n\r\n",
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Content-Length: 100\r\n\r\n{",
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Content-Length: 3\r\n\r\n{\"a",
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Content-Length: x\r\n\r\n",
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Content-Length: 9000000\r\n\r\n" + "x".repeat(9_000_000),
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Content-Length: 9000000\r\nExpect: 100-continue\r\n\r\n",
            "POST /v2/runs" + HTTP_VERSION_AND_HOST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n");

    private final int port;

    FaultyClients(int port) {
        this.port = port;
    }

    void causeAll() throws IOException, InterruptedException {
        for (String request : REQUESTS) {
            try (Socket socket = send(request)) {
                Thread.sleep(PAUSE_MILLIS);
                FaultyPeers.reset(socket);
            }
            try (Socket socket = send(request)) {
                FaultyPeers.reset(socket);
            }
            try (Socket socket = send(request)) {
                shutDownOutput(socket);
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        openTooManyConnections();
    }

    private void openTooManyConnections() throws IOException, InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CONNECTION_COUNT; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        Thread.sleep(PAUSE_MILLIS);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static void shutDownOutput(Socket socket) {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            // the daemon reset the connection
        }
    }

    private Socket send(String request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        Thread writer = new Thread(() -> write(socket, request));
        writer.setDaemon(true);
        writer.start();
        return socket;
    }

    /** Runs in a separate thread: a request that the daemon does not read completely blocks the sender. */
    private static void write(Socket socket, String request) {
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // the connection was closed before the whole request was sent
        }
    }
}
