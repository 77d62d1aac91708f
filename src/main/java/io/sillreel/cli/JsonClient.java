package io.sillreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;

/** Blocking HTTP client for JSON requests and responses. */
final class JsonClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int FIRST_ERROR_STATUS = 400;

    /** A response; the body is a missing node if it is not JSON. */
    record Response(int status, JsonNode body) {
        boolean isOk() {
            return status < FIRST_ERROR_STATUS;
        }
    }

    private JsonClient() {}

    static Response get(String url) throws IOException {
        return send(url, null);
    }

    static Response post(String url, JsonNode body) throws IOException {
        return send(url, body);
    }

    private static Response send(String url, JsonNode body) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) URI.create(url).toURL().openConnection();
        connection.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        connection.setReadTimeout(READ_TIMEOUT_MILLIS);
        if (body != null) {
            connection.setDoOutput(true);
            connection.getOutputStream().write(Json.bytes(body));
        }
        int status = connection.getResponseCode();
        boolean failed = status >= FIRST_ERROR_STATUS;
        try (InputStream in = failed ? connection.getErrorStream() : connection.getInputStream()) {
            return new Response(status, Json.parse(in == null ? new byte[0] : in.readAllBytes()));
        } finally {
            connection.disconnect();
        }
    }
}
