package io.sillreel.cloud;

import io.sillreel.http.Json;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the machine types in the state service, under one key. */
final class MachineTypeStore {
    static final String KEY = "flavors";
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeStore.class);

    /**
     * The stored machine types.
     *
     * @param types empty if none are stored or the state service did not respond
     * @param revision revision of the key, for the compare-and-swap that replaces it
     * @param isConclusive true if the state service responded, so that the revision is known
     */
    record StoredTypes(MachineTypeList types, long revision, boolean isConclusive) {}

    private final StateStore store;

    MachineTypeStore(StateStore store) {
        this.store = store;
    }

    CompletableFuture<StoredTypes> read() {
        return store.get(KEY)
                .thenApply(read -> new StoredTypes(
                        CloudCodec.readMachineTypes(
                                read.entry().isPresent() ? read.entry().get().value() : Json.object()),
                        read.revision(),
                        read.isConclusive()));
    }

    /** Replaces the stored list by compare-and-swap; a write that conflicts with another one is dropped. */
    void write(MachineTypeList types, long revision) {
        store.commit(new Transaction().requireRevision(KEY, revision).set(KEY, types.document()))
                .thenAccept(commit -> {
                    if (commit.outcome() == StoreOutcome.TOO_LARGE) {
                        LOG.error(
                                "state service rejected value of {} ({} bytes) as too large; controllers that start "
                                        + "while the cloud is unavailable will have no machine types",
                                KEY,
                                Json.bytes(types.document()).length);
                    }
                });
    }
}
