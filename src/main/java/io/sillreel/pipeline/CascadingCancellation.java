package io.sillreel.pipeline;

import io.sillreel.statestore.AbstractPendingWrite;
import io.sillreel.statestore.KeyChange;

/** The write that cancels a job which depends on a cancelled one; nothing is written if it is cancelled already. */
public final class CascadingCancellation extends AbstractPendingWrite {
    private final String cause;
    private final long wallMicros;

    /**
     * @param cause the cancelled job, on which this one depends directly or through others
     * @param wallMicros when the cancellation was found; time of day
     */
    public CascadingCancellation(String uid, String cause, long wallMicros) {
        super(CancellationRecord.key(uid), 0);
        this.cause = cause;
        this.wallMicros = wallMicros;
    }

    @Override
    public KeyChange change() {
        return revision() > 0 ? KeyChange.NONE : KeyChange.put(CancellationRecord.encode(wallMicros, cause));
    }
}
