package io.sillreel.pipeline;

import io.sillreel.http.Json;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.SingleKeyWrite;

/** The cancellation of a job that follows a cancelled one, to be written down unless its user was faster. */
public final class CascadingCancellation extends SingleKeyWrite {
    private final String because;
    private final long wallMicros;

    /** @param because the cancelled job that this one needs, directly or through others */
    public CascadingCancellation(String uid, String because, long wallMicros) {
        super(CancellationRecord.key(uid), 0);
        this.because = because;
        this.wallMicros = wallMicros;
    }

    @Override
    public KeyChange change() {
        return revision() > 0
                ? KeyChange.NONE
                : KeyChange.put(Json.object().put("at_us", wallMicros).put("by", because));
    }
}
