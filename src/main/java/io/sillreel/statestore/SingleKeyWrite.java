package io.sillreel.statestore;

/** A pending write that keeps track of the revision of its key and of nothing else. */
public abstract class SingleKeyWrite implements PendingWrite {
    private final String key;
    private long revision;

    /** @param revision the revision that the key is known to have, 0 if it is not stored */
    protected SingleKeyWrite(String key, long revision) {
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

    @Override
    public final void onConflict(long newRevision) {
        revision = newRevision;
    }
}
