package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;

/** The stored cancellation of a job: the presence of {@code withdraw/UID} says that the job is cancelled. */
public final class CancellationRecord {
    /** The prefix of all cancellations. */
    public static final String PREFIX = "withdraw/";

    private static final String CANCELLED = "at_us";
    private static final String CAUSE = "by";

    private CancellationRecord() {}

    /** The key of a job's cancellation. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /**
     * Returns the value for a job that a user cancelled.
     *
     * @param wallMicros when it was cancelled; time of day
     */
    public static ObjectNode encode(long wallMicros) {
        return Json.object().put(CANCELLED, wallMicros);
    }

    /**
     * Returns the value for a job that is cancelled since it depends on a cancelled one.
     *
     * @param cause the cancelled job, on which this one depends directly or through others
     */
    public static ObjectNode encode(long wallMicros, String cause) {
        return encode(wallMicros).put(CAUSE, cause);
    }
}
