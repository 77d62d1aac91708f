package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server on a free loopback port; each request has a thread of its own, so an answer may wait. */
final class Desk {
    /** An answer; null means that the connection is closed without one. */
    record Answer(int status, String body) {
        static Answer of(int status, JsonNode body) {
            return new Answer(status, body.toString());
        }

        static Answer error(int status, String reason) {
            return of(status, Wire.object().put("error", reason));
        }
    }

    interface Clerk {
        Answer handle(String method, String path, String query, JsonNode body) throws InterruptedException;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "desk");
        thread.setDaemon(true);
        return thread;
    });

    private final HttpServer server;
    private final String address;

    Desk(Clerk clerk) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, clerk));
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    String address() {
        return address;
    }

    void stop() {
        server.stop(0);
    }

    private static void serve(HttpExchange exchange, Clerk clerk) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            URI uri = exchange.getRequestURI();
            Answer answer = clerk.handle(
                    exchange.getRequestMethod(),
                    uri.getPath(),
                    uri.getQuery() == null ? "" : uri.getQuery(),
                    body.length == 0 ? Wire.object() : Wire.parse(body));
            if (answer == null) {
                return;
            }
            byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            e.printStackTrace();
        }
    }

    /** The value of a query parameter, or the given one. */
    static String parameter(String query, String name, String missing) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return missing;
    }
}
