package io.sillreel.statestore;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Receives the entries of a scan page by page, in the order of their keys. */
@FunctionalInterface
public interface PageConsumer {
    /** Processes a page; completes with true once the next page may be read, or with false to end the scan. */
    CompletableFuture<Boolean> accept(List<StoredEntry> page);
}
