package io.sillreel.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/** One HTTP request, as sent or as received. */
public record HttpRequest(String method, String path, byte[] body) {
    public static final byte[] NO_BODY = new byte[0];

    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, NO_BODY);
    }

    public static HttpRequest post(String path, JsonNode body) {
        return new HttpRequest("POST", path, Json.bytes(body));
    }

    /** A parameter of the query, or an empty text. */
    public String query(String name) {
        List<String> values = new QueryStringDecoder(path).parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    /** The path without its query. */
    public String route() {
        int mark = path.indexOf('?');
        return mark < 0 ? path : path.substring(0, mark);
    }
}
