package io.sillreel.statestore;

import java.util.Optional;

/** Base class of pending writes that tracks the revision of the key. Used on the event loop only. */
public abstract class AbstractPendingWrite implements PendingWrite {
    private final String key;
    private long revision;

    /** @param revision the revision that the key is expected to have, 0 if it must not exist */
    protected AbstractPendingWrite(String key, long revision) {
        this.key = key;
        this.revision = revision;
    }

    @Override
    public final String key() {
        return key;
    }

    @Override
    public final long revision() {
        return revision;
    }

    @Override
    public void onStored(long newRevision) {
        revision = newRevision;
    }

    /** Accepts any stored value: the keys of these writes never hold anything that has to be preserved. */
    @Override
    public final ConflictResolution onConflict(Optional<StoredEntry> stored) {
        revision = stored.map(StoredEntry::revision).orElse(0L);
        return ConflictResolution.RETRY;
    }
}
