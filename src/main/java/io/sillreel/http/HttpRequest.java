package io.sillreel.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * An HTTP request, as sent or as received.
 *
 * @param path the path with its query
 * @param body the bytes of the body, not copied; empty if there is none
 */
public record HttpRequest(String method, String path, byte[] body) {
    public static final byte[] NO_BODY = new byte[0];

    /** Creates a GET request without a body. */
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, NO_BODY);
    }

    /** Creates a POST request with a JSON body. */
    public static HttpRequest post(String path, JsonNode body) {
        return new HttpRequest("POST", path, Json.bytes(body));
    }

    /** Returns the first value of a query parameter, or an empty string if it is missing. */
    public String queryParameter(String name) {
        List<String> values = new QueryStringDecoder(path).parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    /** Returns the path without its query. */
    public String route() {
        int mark = path.indexOf('?');
        return mark < 0 ? path : path.substring(0, mark);
    }
}
