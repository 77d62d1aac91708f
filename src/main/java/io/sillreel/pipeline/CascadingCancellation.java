package io.sillreel.pipeline;

import io.sillreel.statestore.AbstractPendingWrite;
import io.sillreel.statestore.KeyChange;

/** The write that cancels a dependent of a cancelled job; writes nothing if the dependent is already cancelled. */
public final class CascadingCancellation extends AbstractPendingWrite {
    private final String cause;
    private final long wallMicros;

    /**
     * @param cause the id of the cancelled job on which this one depends, directly or transitively
     * @param wallMicros wall-clock time at which the leader found the cancellation
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
