package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.WriteQueue;
import java.util.Map;

/** The cancellation of a job that follows a cancelled one, to be written down unless its user was faster. */
public final class CascadingCancellation extends WriteQueue.SingleKeyWrite {
    private final String because;
    private final long wallMicros;

    /** @param because the cancelled job that this one needs, directly or through others */
    public CascadingCancellation(String uid, String because, long wallMicros) {
        super(CancellationRecord.key(uid), 0);
        this.because = because;
        this.wallMicros = wallMicros;
    }

    @Override
    public Map<String, JsonNode> changes() {
        return revision() > 0
                ? Map.of()
                : Map.of(key(), Json.object().put("at_us", wallMicros).put("by", because));
    }
}
