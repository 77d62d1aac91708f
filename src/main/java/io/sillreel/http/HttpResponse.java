package io.sillreel.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An HTTP response, or the reason for not having received one.
 *
 * @param status the HTTP status, or {@link #NOT_SENT}, {@link #NO_RESPONSE} or {@link #RESPONSE_TOO_LARGE}
 * @param body the bytes of the body, not copied; empty if there is none
 * @param retryAfterSeconds the value of the Retry-After header, 0 if it is absent
 */
public record HttpResponse(int status, byte[] body, int retryAfterSeconds) {
    /** No response was received: the request may have been executed, or may still be. */
    public static final int NO_RESPONSE = 0;
    /** The request was not sent, so it has certainly not been executed. */
    public static final int NOT_SENT = -1;
    /** The response was larger than the client accepts; the request was executed. */
    public static final int RESPONSE_TOO_LARGE = -2;

    /** Creates a response with a JSON body. */
    public static HttpResponse of(int status, JsonNode body) {
        return new HttpResponse(status, Json.bytes(body), 0);
    }

    /** Returns the result of a request for which no response was received. */
    public static HttpResponse noResponse() {
        return new HttpResponse(NO_RESPONSE, HttpRequest.NO_BODY, 0);
    }

    /** Returns the result of a request whose response is too large. */
    public static HttpResponse responseTooLarge() {
        return new HttpResponse(RESPONSE_TOO_LARGE, HttpRequest.NO_BODY, 0);
    }

    /** Returns the result of a request that was not sent. */
    public static HttpResponse notSent() {
        return new HttpResponse(NOT_SENT, HttpRequest.NO_BODY, 0);
    }

    /** Creates an error response with the reason in its body. */
    public static HttpResponse error(int status, String reason) {
        return of(status, Json.object().put("error", reason));
    }

    /** Creates an error response with a Retry-After header. */
    public static HttpResponse retryLater(int status, String reason, int retryAfterSeconds) {
        ObjectNode body = Json.object().put("error", reason);
        return new HttpResponse(status, Json.bytes(body), retryAfterSeconds);
    }

    /** Parses the body on each call; returns a missing node if it is not JSON. */
    public JsonNode json() {
        return Json.parse(body);
    }

    /** Returns true if the request succeeded. */
    public boolean isOk() {
        return status == 200;
    }

    /** Returns true if the request was certainly not executed, so that a retry cannot execute it twice. */
    public boolean isCertainlyNotExecuted() {
        return status == NOT_SENT || status == 429 || status == 503 || status == 400 || status == 409;
    }
}
