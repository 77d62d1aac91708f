package io.sillreel.statestore;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpResponse;
import io.sillreel.overload.RateLimiter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the state service, limited to this controller's share of the request and write rates. The futures never
 * complete exceptionally; the {@link StoreOutcome} of a result indicates success or failure. Thread-safe; futures
 * complete on the event loop, or immediately if the rate does not allow the request.
 */
public final class StateStore {
    private static final long TIMEOUT_MICROS = 1_500_000;
    /** Shorter, since a compare-only transaction is safe to retry and users' polls time out after two seconds. */
    private static final long COMPARE_TIMEOUT_MICROS = 700_000;
    /** Time beyond the service's own block time that the client waits for the response to a watch. */
    private static final long WATCH_SLACK_MICROS = 2_500_000;

    private final StateStoreTransport transport;
    private final EventLoop eventLoop;
    private final RateLimiter requestLimiter;
    private final RateLimiter writeLimiter;

    /**
     * @param leaseHttpClient sends lease requests on dedicated connections: under load, a renewal that waited for a
     *     connection shared with user requests took longer than the lease lasts
     * @param requestLimiter this controller's share of the request rate
     * @param writeLimiter this controller's share of the write rate, counted in changed keys
     */
    public StateStore(
            HttpClient httpClient,
            HttpClient leaseHttpClient,
            EventLoop eventLoop,
            String address,
            RateLimiter requestLimiter,
            RateLimiter writeLimiter) {
        this.transport = new StateStoreTransport(httpClient, leaseHttpClient, eventLoop, address, requestLimiter);
        this.eventLoop = eventLoop;
        this.requestLimiter = requestLimiter;
        this.writeLimiter = writeLimiter;
    }

    /**
     * The time on the event loop's clock of the last response that shows that the service itself processed a request;
     * {@link Long#MIN_VALUE} if there was none.
     */
    public long lastConclusiveResponseMicros() {
        return transport.lastConclusiveResponseMicros();
    }

    /**
     * True while consecutive requests get no response. Requests that depend on the service should then be refused
     * immediately instead of waiting for a timeout.
     */
    public boolean isUnresponsive() {
        return transport.isUnresponsive();
    }

    /** The number of keys that may be changed now within this controller's share of the write rate. */
    public double availableWrites() {
        return writeLimiter.availableTokens();
    }

    /** The maximum number of keys that may be changed in one burst. */
    public double maxWriteBurst() {
        return writeLimiter.burst();
    }

    /** Reads one key. */
    public CompletableFuture<ReadResult> get(String key) {
        return transport.send(StateStoreCodec.readRequest(key), TIMEOUT_MICROS).thenApply(response -> {
            StoreOutcome outcome = transport.recordOutcome(response);
            return new ReadResult(
                    outcome,
                    outcome == StoreOutcome.OK
                            ? Optional.of(StateStoreCodec.entry(response.json()))
                            : Optional.empty());
        });
    }

    /**
     * Lists the entries under a prefix with few entries. A page that is refused or gets no response is not retried,
     * since callers such as the leader election have to learn immediately that the entries are unknown.
     */
    public CompletableFuture<ListResult> list(String prefix) {
        List<StoredEntry> entries = new ArrayList<>();
        PageConsumer collector = page -> {
            entries.addAll(page);
            return CompletableFuture.completedFuture(true);
        };
        return new PrefixScan(transport, eventLoop, prefix, false, collector)
                .start()
                .thenApply(scan -> new ListResult(
                        scan.outcome(), scan.outcome() == StoreOutcome.OK ? entries : List.of(), scan.storeRevision()));
    }

    /**
     * Reads all entries under a prefix and passes them on page by page, so that they are never all in memory. The pages
     * do not form a snapshot: later pages may be newer. Pages are requested within the request rate. A page that is
     * refused or gets no response is retried individually: a scan that restarted from the beginning would never
     * complete if it had more pages than the rate allows in one burst.
     */
    public CompletableFuture<ScanResult> scan(String prefix, PageConsumer consumer) {
        return new PrefixScan(transport, eventLoop, prefix, true, consumer).start();
    }

    /** Sends a transaction, or completes with {@link StoreOutcome#REFUSED} if the rates do not allow it. */
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        boolean hasChanges = transaction.changeCount() > 0;
        if (!transport.tryAcquireRequest() || hasChanges && !writeLimiter.tryAcquire(transaction.changeCount())) {
            return CompletableFuture.completedFuture(new CommitResult(StoreOutcome.REFUSED, 0, List.of()));
        }
        return transport
                .sendAcquired(
                        StateStoreCodec.commitRequest(transaction),
                        hasChanges ? TIMEOUT_MICROS : COMPARE_TIMEOUT_MICROS,
                        hasChanges ? writeLimiter : requestLimiter)
                .thenApply(
                        response -> StateStoreCodec.commitResult(transport.recordOutcome(response), response.json()));
    }

    /** Requests a lease; sent even if the request rate is exhausted. */
    public CompletableFuture<LeaseGrant> grantLease(long lifeMicros) {
        return transport
                .sendLeaseRequest(StateStoreCodec.grantRequest(lifeMicros))
                .thenApply(response -> StateStoreCodec.leaseGrant(transport.recordOutcome(response), response.json()));
    }

    /** Renews a lease for its full duration; sent even if the request rate is exhausted. */
    public CompletableFuture<StoreOutcome> renewLease(long leaseId) {
        return transport.sendLeaseRequest(StateStoreCodec.renewRequest(leaseId)).thenApply(transport::recordOutcome);
    }

    /** Revokes a lease, which removes the keys attached to it. */
    public CompletableFuture<StoreOutcome> revokeLease(long leaseId) {
        return transport
                .send(StateStoreCodec.revokeRequest(leaseId), TIMEOUT_MICROS)
                .thenApply(transport::recordOutcome);
    }

    /**
     * Waits until a key under the prefix has changed.
     *
     * @param sinceRevision only changes after this revision of the store are reported
     * @param blockMicros how long the service waits for a change before it responds without one
     */
    public CompletableFuture<WatchResult> watch(String prefix, long sinceRevision, long blockMicros) {
        return transport
                .send(
                        StateStoreCodec.watchRequest(prefix, sinceRevision, blockMicros),
                        blockMicros + WATCH_SLACK_MICROS)
                .thenApply(response -> StateStoreCodec.watchResult(watchOutcome(response), response.json()));
    }

    /** A watch whose events are too large for one response can only be resumed after reading the keys in pages. */
    private StoreOutcome watchOutcome(HttpResponse response) {
        return response.status() == HttpResponse.RESPONSE_TOO_LARGE
                ? StoreOutcome.COMPACTED
                : transport.recordOutcome(response);
    }
}
