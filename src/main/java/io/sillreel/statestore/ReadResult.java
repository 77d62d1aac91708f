package io.sillreel.statestore;

import java.util.Optional;

/**
 * The result of reading one key.
 *
 * @param entry the entry, present only if the outcome is {@link StoreOutcome#OK}
 */
public record ReadResult(StoreOutcome outcome, Optional<StoredEntry> entry) {
    /** The revision of the key, 0 if it does not exist or could not be read. */
    public long revision() {
        return entry.isEmpty() ? 0 : entry.get().revision();
    }

    /** True if the read established whether the key exists. */
    public boolean isConclusive() {
        return outcome == StoreOutcome.OK || outcome == StoreOutcome.NOT_FOUND;
    }
}
