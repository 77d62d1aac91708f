package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A persistent HTTP/1.1 connection with one request at a time and no retries. A failure closes the connection. */
final class Wire implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    /** An answer; status 0 stands for none. */
    record Reply(int status, byte[] body) {
        static final Reply NONE = new Reply(0, new byte[0]);

        JsonNode json() {
            return parse(body);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final String address;
    private final int connectMillis;
    private Socket socket;
    private InputStream in;

    Wire(String address) {
        this(address, 2_000);
    }

    Wire(String address, int connectMillis) {
        this.address = address;
        this.connectMillis = connectMillis;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    Reply post(String path, JsonNode body, int timeoutMillis) {
        return send("POST", path, body.toString(), timeoutMillis);
    }

    Reply get(String path, int timeoutMillis) {
        return send("GET", path, "", timeoutMillis);
    }

    /** Sends a request; {@link Reply#NONE} if there is no connection or no whole answer in time. */
    Reply send(String method, String path, String body, int timeoutMillis) {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
        try {
            if (socket == null) {
                int colon = address.lastIndexOf(':');
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(
                        new InetSocketAddress(
                                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                        Math.min(connectMillis, timeoutMillis));
                in = new BufferedInputStream(socket.getInputStream());
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
            byte[] all = new byte[headBytes.length + bytes.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
            socket.getOutputStream().write(all);
            return read(deadline);
        } catch (IOException e) {
            close();
            return Reply.NONE;
        }
    }

    private Reply read(long deadline) throws IOException {
        String status = line(deadline);
        int code = Integer.parseInt(status.split(" ")[1]);
        int length = 0;
        boolean closes = false;
        for (String header = line(deadline); !header.isEmpty(); header = line(deadline)) {
            String lower = header.toLowerCase(java.util.Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        byte[] body = new byte[length];
        for (int got = 0; got < length; ) {
            arm(deadline);
            int count = in.read(body, got, length - got);
            if (count < 0) {
                throw new IOException("ended early");
            }
            got += count;
        }
        if (closes) {
            close();
        }
        return new Reply(code, body);
    }

    private String line(long deadline) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            arm(deadline);
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended early");
            }
            if (next == '\n') {
                return text.toString();
            }
            if (next != '\r') {
                text.append((char) next);
            }
        }
    }

    private void arm(long deadline) throws IOException {
        long left = (deadline - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) left);
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone either way.
            }
            socket = null;
        }
    }
}
