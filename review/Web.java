import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with JSON bodies on loopback addresses, for all stand-ins. */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** A response; a null body stands for an empty object. */
    record Answer(int status, JsonNode body) {}

    /** Answers one request; null resets the connection without an answer. */
    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, JsonNode body) throws Exception;
    }

    private Web() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static ArrayNode array() {
        return JSON.createArrayNode();
    }

    static Answer error(int status, String text) {
        return new Answer(status, object().put("error", text));
    }

    private static final Set<Integer> USED_PORTS = new HashSet<>();

    /** Returns a free loopback port that was not returned before. */
    static synchronized int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", 0));
                if (USED_PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = null;
            try {
                body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            } catch (IOException e) {
                send(exchange, error(400, "not JSON"));
                return;
            }
            URI uri = exchange.getRequestURI();
            Answer answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), query(uri), body);
            if (answer == null) {
                exchange.close();
            } else {
                send(exchange, answer);
            }
        } catch (Throwable e) {
            exchange.close();
        }
    }

    private static void send(HttpExchange exchange, Answer answer) throws IOException {
        byte[] out = JSON.writeValueAsBytes(answer.body() == null ? object() : answer.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), out.length);
        try (OutputStream stream = exchange.getResponseBody()) {
            stream.write(out);
        }
    }

    private static Map<String, String> query(URI uri) {
        Map<String, String> values = new HashMap<>();
        if (uri.getQuery() != null) {
            for (String pair : uri.getQuery().split("&")) {
                int mark = pair.indexOf('=');
                values.put(mark < 0 ? pair : pair.substring(0, mark), mark < 0 ? "" : pair.substring(mark + 1));
            }
        }
        return values;
    }

    /** Sends a request; status 0 stands for no answer in time or a failed connection. */
    static Answer call(String address, String method, String path, JsonNode body, int timeoutMs) {
        try {
            return callRaw(address, method, path, body == null ? null : JSON.writeValueAsBytes(body), timeoutMs);
        } catch (IOException e) {
            return new Answer(0, object().put("error", e.toString()));
        }
    }

    static Answer callRaw(String address, String method, String path, byte[] body, int timeoutMs) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
            connection.setConnectTimeout(timeoutMs);
            connection.setReadTimeout(timeoutMs);
            connection.setRequestMethod(method);
            if (body != null || method.equals("POST")) {
                byte[] out = body == null ? "{}".getBytes(StandardCharsets.UTF_8) : body;
                connection.setDoOutput(true);
                connection.setFixedLengthStreamingMode(out.length);
                connection.setRequestProperty("Content-Type", "application/json");
                try (OutputStream stream = connection.getOutputStream()) {
                    stream.write(out);
                }
            }
            int status = connection.getResponseCode();
            InputStream stream = status >= 400 ? connection.getErrorStream() : connection.getInputStream();
            byte[] in = stream == null ? new byte[0] : stream.readAllBytes();
            if (stream != null) {
                stream.close();
            }
            JsonNode json = in.length == 0 ? object() : JSON.readTree(in);
            return new Answer(status, json);
        } catch (IOException e) {
            return new Answer(0, object().put("error", e.toString()));
        }
    }
}
