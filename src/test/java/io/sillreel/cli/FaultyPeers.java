package io.sillreel.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server that injects a different fault into each connection, cycling through the list of faults. */
final class FaultyPeers implements AutoCloseable {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CLOSE = OK + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";

    private interface Fault {
        void inject(Socket connection) throws IOException;
    }

    private static final List<Fault> FAULTS = List.of(
            connection -> send(connection, CLOSE.repeat(20_000)),
            FaultyPeers::reset,
            connection -> send(connection, OK + "Content-Length: 9000000\r\n\r\n" + "x".repeat(9_000_000)),
            Socket::shutdownOutput,
            connection -> sendAndReset(connection, OK + "Content-Length: 9\r\n\r\n{"),
            connection -> send(connection, "garbage\r\n\r\n"),
            connection -> send(connection, OK + "Content-Length: 9\r\n\r\n{"),
            Socket::close,
            connection -> sendAndReset(connection, OK + "Content-Length: 2\r\n\r\n{}"),
            connection -> send(connection, OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            connection -> sendAndReset(connection, OK + "\r\n{"),
            connection -> send(connection, OK + "Content-Length: 1\r\n\r\n{"),
            connection -> send(connection, OK + "Long: " + "x".repeat(20_000) + "\r\n\r\n"),
            connection -> send(connection, ""));

    private final ServerSocket server;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    FaultyPeers(int port) throws IOException {
        server = new ServerSocket(port, 100, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "faulty-peers");
        thread.setDaemon(true);
        thread.start();
    }

    /** True once every fault has been injected at least once. */
    boolean allFaultsCaused() {
        return connections.size() > FAULTS.size();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                Fault fault = FAULTS.get(connections.size() % FAULTS.size());
                connections.add(connection);
                connection.setSoTimeout(1_000);
                connection.getInputStream().read(new byte[4_096]);
                fault.inject(connection);
            } catch (IOException e) {
                // the daemon closed the connection first, or the test has ended
            }
        }
    }

    private static void send(Socket connection, String response) throws IOException {
        OutputStream output = connection.getOutputStream();
        output.write(response.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static void sendAndReset(Socket connection, String response) throws IOException {
        send(connection, response);
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reset(connection);
    }

    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
