package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;

/** The stored cancellation of a job; a job is cancelled if and only if the key {@code withdraw/UID} exists. */
public final class CancellationRecord {
    /** Key prefix of all cancellations. */
    public static final String PREFIX = "withdraw/";

    private static final String CANCELLED = "at_us";
    private static final String CAUSE = "by";

    private CancellationRecord() {}

    /** Returns the key of a job's cancellation. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /**
     * Returns the value for a job that a user cancelled.
     *
     * @param wallMicros wall-clock time of the cancellation
     */
    public static ObjectNode encode(long wallMicros) {
        return Json.object().put(CANCELLED, wallMicros);
    }

    /**
     * Returns the value for a job that is cancelled because it depends on a cancelled one.
     *
     * @param cause the id of the cancelled job on which this one depends, directly or transitively
     */
    public static ObjectNode encode(long wallMicros, String cause) {
        return encode(wallMicros).put(CAUSE, cause);
    }
}
