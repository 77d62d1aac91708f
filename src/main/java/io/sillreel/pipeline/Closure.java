package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.KeyWriter;
import java.util.Map;

/** The withdrawal of a job that follows a withdrawn one, to be written down unless its user was faster. */
public final class Closure implements KeyWriter.Item {
    private final String uid;
    private final String because;
    private final long wallMicros;
    private long stamp;

    public Closure(String uid, String because, long wallMicros) {
        this.uid = uid;
        this.because = because;
        this.wallMicros = wallMicros;
    }

    @Override
    public String key() {
        return "withdraw/" + uid;
    }

    @Override
    public long stamp() {
        return stamp;
    }

    @Override
    public Map<String, JsonNode> changes() {
        return stamp > 0 ? Map.of() : Map.of(key(), Json.object().put("at_us", wallMicros).put("by", because));
    }

    @Override
    public void stored(long newStamp) {
        stamp = newStamp;
    }

    @Override
    public void moved(long newStamp) {
        stamp = newStamp;
    }
}
