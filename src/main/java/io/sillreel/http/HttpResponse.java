package io.sillreel.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One HTTP response. Status {@link #NOT_SENT} means that the request never left, {@link #NO_RESPONSE} that it may have
 * been executed, or may yet be.
 */
public record HttpResponse(int status, byte[] body, int retryAfterSeconds) {
    public static final int NO_RESPONSE = 0;
    public static final int NOT_SENT = -1;
    /** An answer came, and it was larger than what is taken in. */
    public static final int RESPONSE_TOO_LARGE = -2;

    public static HttpResponse of(int status, JsonNode body) {
        return new HttpResponse(status, Json.bytes(body), 0);
    }

    public static HttpResponse noResponse() {
        return new HttpResponse(NO_RESPONSE, HttpRequest.NO_BODY, 0);
    }

    public static HttpResponse responseTooLarge() {
        return new HttpResponse(RESPONSE_TOO_LARGE, HttpRequest.NO_BODY, 0);
    }

    public static HttpResponse notSent() {
        return new HttpResponse(NOT_SENT, HttpRequest.NO_BODY, 0);
    }

    /** An answer in plain words. */
    public static HttpResponse error(int status, String reason) {
        return of(status, Json.object().put("error", reason));
    }

    /** What can't be served now is answered at once, with the time to come back. */
    public static HttpResponse retryLater(int status, String reason, int retryAfterSeconds) {
        ObjectNode body = Json.object().put("error", reason);
        return new HttpResponse(status, Json.bytes(body), retryAfterSeconds);
    }

    public JsonNode json() {
        return Json.parse(body);
    }

    public boolean isOk() {
        return status == 200;
    }

    /** True if the other side surely did not carry the request out. */
    public boolean isCertainlyNotExecuted() {
        return status == NOT_SENT || status == 429 || status == 503 || status == 400 || status == 409;
    }
}
