package io.sillreel.pipeline;

import io.sillreel.statestore.AbstractPendingWrite;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.WriteUrgency;

/** The removal of a key that is no longer referenced by any record. */
final class KeyRemoval extends AbstractPendingWrite {
    /** @param revision the last known revision of the key */
    KeyRemoval(String key, long revision) {
        super(key, revision);
    }

    @Override
    public WriteUrgency urgency() {
        return WriteUrgency.PROGRESS;
    }

    @Override
    public KeyChange change() {
        return revision() > 0 ? KeyChange.REMOVAL : KeyChange.NONE;
    }

    @Override
    public void onStored(long newRevision) {
        super.onStored(0);
    }
}
