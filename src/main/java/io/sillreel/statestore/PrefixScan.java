package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads the entries under a prefix page by page. Only one page is requested at a time, so the fields need no lock. */
final class PrefixScan {
    private static final long PAGE_TIMEOUT_MICROS = 1_500_000;
    /** Limits the time of one event loop task: a page is processed in one task, which delays lease renewal. */
    private static final int PAGE_SIZE = 200;
    /** Delay before a page that the request rate did not allow is requested again. */
    private static final long RATE_LIMITED_DELAY_MICROS = 20_000;

    private static final long RETRY_DELAY_MICROS = 300_000;
    private static final int MAX_RETRIES = 3;
    private static final long UNKNOWN_REVISION = -1;

    private final StateStoreTransport transport;
    private final EventLoop eventLoop;
    private final String prefix;
    private final boolean retriesPages;
    private final PageConsumer consumer;
    private final CompletableFuture<ScanResult> result = new CompletableFuture<>();
    private String lastKey = "";
    private long firstPageRevision = UNKNOWN_REVISION;
    private int failures;

    /** @param retriesPages whether a page that was refused or got no response is requested again */
    PrefixScan(
            StateStoreTransport transport,
            EventLoop eventLoop,
            String prefix,
            boolean retriesPages,
            PageConsumer consumer) {
        this.transport = transport;
        this.eventLoop = eventLoop;
        this.prefix = prefix;
        this.retriesPages = retriesPages;
        this.consumer = consumer;
    }

    /** Starts the scan; called once. */
    CompletableFuture<ScanResult> start() {
        requestPage();
        return result;
    }

    private void requestPage() {
        if (transport.tryAcquireRequest()) {
            HttpRequest request = StateStoreCodec.pageRequest(prefix, lastKey, PAGE_SIZE);
            whenDone(transport.sendAcquired(request, PAGE_TIMEOUT_MICROS), response -> {
                StoreOutcome outcome = transport.recordOutcome(response);
                if (outcome == StoreOutcome.OK) {
                    handlePage(response.json());
                } else {
                    handleFailure(outcome);
                }
            });
        } else if (retriesPages) {
            eventLoop.schedule(RATE_LIMITED_DELAY_MICROS, this::requestPage);
        } else {
            finish(StoreOutcome.REFUSED, 0);
        }
    }

    private void handleFailure(StoreOutcome outcome) {
        if (retriesPages && failures < MAX_RETRIES) {
            failures++;
            eventLoop.schedule(RETRY_DELAY_MICROS, this::requestPage);
        } else {
            finish(outcome, 0);
        }
    }

    private void handlePage(JsonNode body) {
        List<StoredEntry> entries = StateStoreCodec.entries(body);
        failures = 0;
        if (firstPageRevision == UNKNOWN_REVISION) {
            // Keys of an earlier page may change while later pages are read. A watch from the revision of the first
            // page reports those changes.
            firstPageRevision = StateStoreCodec.storeRevision(body);
        }
        boolean hasMore = StateStoreCodec.isTruncated(body) && !entries.isEmpty();
        whenDone(consumer.accept(entries), mayContinue -> {
            if (!mayContinue) {
                finish(StoreOutcome.REFUSED, 0);
            } else if (hasMore) {
                lastKey = entries.get(entries.size() - 1).key();
                requestPage();
            } else {
                finish(StoreOutcome.OK, firstPageRevision);
            }
        });
    }

    /** An error with a page, here or in the consumer, ends the scan, so that the caller's future completes. */
    private <T> void whenDone(CompletableFuture<T> future, Consumer<T> callback) {
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        future, "a page of the keys under " + prefix, callback, () -> finish(StoreOutcome.REFUSED, 0));
    }

    private void finish(StoreOutcome outcome, long storeRevision) {
        result.complete(new ScanResult(outcome, storeRevision));
    }
}
