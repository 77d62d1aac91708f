package io.sillreel.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Causes failures on the client side of a server: aborted connections, malformed and oversized requests. */
final class ClientFailures {
    private static final int PIPELINED = 200;
    private static final String CRLF = "\r\n";
    private static final String END = CRLF + CRLF;

    private final int port;

    /** @param port the port on which {@link FailureTraining} listens on the loopback address */
    ClientFailures(int port) {
        this.port = port;
    }

    void causeAll() throws IOException, InterruptedException {
        resetIdleConnection();
        resetDuringRequestRead();
        resetDuringResponseWrite();
        closedBeforeResponse();
        inputHalfClosed();
        malformedRequests();
        oversizedRequests();
        closedWithUnreadRequests();
        manyPipelinedRequests();
        failingHandlers();
        tooManyConnections();
    }

    private void resetIdleConnection() throws IOException, InterruptedException {
        Socket socket = connect();
        Thread.sleep(FailureTraining.PAUSE_MILLIS);
        FailureTraining.reset(socket);
    }

    private void resetDuringRequestRead() throws IOException, InterruptedException {
        for (String part : List.of("GET / HT", post(100) + "{")) {
            Socket socket = connect();
            FailureTraining.send(socket, part);
            Thread.sleep(FailureTraining.PAUSE_MILLIS);
            FailureTraining.reset(socket);
        }
    }

    private void resetDuringResponseWrite() throws IOException, InterruptedException {
        for (String request : List.of(get("/large", ""), get("/large", "Connection: close" + CRLF))) {
            Socket socket = connect();
            FailureTraining.send(socket, request);
            Thread.sleep(2 * FailureTraining.PAUSE_MILLIS);
            FailureTraining.reset(socket);
            Thread.sleep(FailureTraining.PAUSE_MILLIS);
        }
    }

    private void closedBeforeResponse() throws IOException, InterruptedException {
        for (String header : List.of("", "Connection: close" + CRLF)) {
            Socket closed = connect();
            FailureTraining.send(closed, get("/late", header));
            closed.close();
            Socket reset = connect();
            FailureTraining.send(reset, get("/late", header));
            Thread.sleep(FailureTraining.PAUSE_MILLIS);
            FailureTraining.reset(reset);
        }
        Thread.sleep(2 * FailureTraining.PAUSE_MILLIS);
    }

    private void inputHalfClosed() throws IOException {
        for (String request : List.of("", "GET / HT", get("/", ""), get("/late", ""), post(100) + "{")) {
            try (Socket socket = connect()) {
                FailureTraining.send(socket, request);
                socket.shutdownOutput();
                drain(socket);
            }
        }
    }

    private void malformedRequests() throws IOException {
        String tooLong = "x".repeat(FailureTraining.MAX_BYTES);
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
        String body = "x".repeat(2 * FailureTraining.MAX_BYTES);
        exchange(post(body.length()) + body);
        exchange(get("/", "Transfer-Encoding: chunked" + CRLF) + "8000" + CRLF + body + CRLF + "0" + END);
        exchange(get("/", "Expect: 100-continue" + CRLF + "Content-Length: 40000" + CRLF));
        exchange(get("/", "Expect: 100-continue" + CRLF + "Content-Length: 1" + CRLF) + "{");
        exchange(get("/", "Expect: 200-ok" + CRLF + "Content-Length: 1" + CRLF));
    }

    /** The first response closes the connection while the requests that follow are still being read. */
    private void closedWithUnreadRequests() throws IOException {
        String request = get("/", "Connection: close" + CRLF);
        exchange(request + request.repeat(FailureTraining.LARGE_BYTES / 16 / request.length()));
        exchange("GET / HTTP/1.0" + END + get("/", ""));
    }

    /** Netty switches to another data structure for the methods of some dozens of unanswered requests. */
    private void manyPipelinedRequests() throws IOException {
        exchange(get("/late", "").repeat(PIPELINED));
    }

    private void failingHandlers() throws IOException {
        exchange(get("/failed", ""));
        exchange(get("/thrown", ""));
    }

    private void tooManyConnections() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * FailureTraining.MAX_CONNECTIONS; i++) {
                sockets.add(connect());
            }
            drain(sockets.get(sockets.size() - 1));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Sends the bytes and reads until the server closes the connection or sends nothing more. */
    private void exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            FailureTraining.send(socket, request);
            drain(socket);
        } catch (IOException e) {
            // the server closed the connection before the whole request was sent
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(FailureTraining.LOOPBACK, port);
        socket.setSoTimeout(3 * FailureTraining.PAUSE_MILLIS);
        return socket;
    }

    private static void drain(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[FailureTraining.MAX_BYTES];
        try {
            while (input.read(buffer) >= 0) {
                // the content of the response is ignored
            }
        } catch (IOException e) {
            // the server reset the connection, or keeps it open beyond the read timeout
        }
    }

    private static String get(String path, String headers) {
        return "GET " + path + " HTTP/1.1" + CRLF + "Host: localhost" + CRLF + headers + CRLF;
    }

    private static String post(int contentLength) {
        return "POST / HTTP/1.1" + CRLF + "Host: localhost" + CRLF + "Content-Length: " + contentLength + END;
    }
}
