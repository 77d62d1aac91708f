package io.sillreel.recovery;

import io.sillreel.agent.Heartbeat;
import io.sillreel.heartbeat.HeartbeatObserver;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.recovery.ChangeLog.Snapshot;
import io.sillreel.recovery.RecoveryMessages.PeerStatus;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the state service has lost writes, and takes part in restoring them. While a loss is known and has not
 * been repaired, the controller is suspended: it launches no tasks, requests and returns no machines and answers no
 * users' requests.
 */
public final class Recovery implements HeartbeatObserver {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    /**
     * The distance of the first term after a loss from the highest known term, since lost terms may exist that no
     * remaining controller or worker knows. A term begins at most every three seconds, so this covers most of an hour.
     */
    static final long TERM_GAP = 1_000;

    private static final long EXCHANGE_INTERVAL_MICROS = 1_000_000;
    /** Time allowed for notifying the peers of a loss before its record is stored. */
    private static final long PEER_NOTICE_MICROS = 200_000;

    private static final int RETRY_SECONDS = 5;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final HttpClient httpClient;
    private final RevisionTracker revisions = new RevisionTracker();
    private final ChangeLog log;
    private final long watchDelayMicros;
    private final PeerExchange peerExchange;
    private final RecoveryApi api;
    private StateStore store;
    private LeaderElection leadership;
    private ChangeLogWatcher changeLogWatcher;
    private TermEvidence termEvidence;
    private RecoveryRecordWriter recordWriter;

    private final LossState loss = new LossState();
    private boolean recordRead;
    /** True once the recovery record has been read and every peer has reported its status or failed to respond. */
    private boolean peersConsulted;

    private RebuildCoordinator coordinator;

    /**
     * @param httpClient sends requests to other controllers
     * @param maxChangeLogBytes approximate limit on the memory of the change log
     * @param watchDelayMicros the delay between two watches, in which changes accumulate
     */
    public Recovery(
            EventLoop eventLoop,
            Settings settings,
            HttpClient httpClient,
            long maxChangeLogBytes,
            long watchDelayMicros) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.httpClient = httpClient;
        this.log = new ChangeLog(maxChangeLogBytes);
        this.watchDelayMicros = watchDelayMicros;
        this.api = new RecoveryApi(this, settings);
        this.peerExchange = new PeerExchange(httpClient, settings.members(), this::ownStatus, this::onPeerStatus);
    }

    /** Wraps a client of the state service, so that its responses are checked for evidence of a loss. */
    public HttpClient monitor(HttpClient storeClient) {
        return new StoreMonitor(storeClient, eventLoop, revisions, log, loss::isSuspended, this::onLossDetected);
    }

    /** Starts to detect losses; the store and the election must use clients wrapped by {@link #monitor}. */
    public void start(StateStore monitoredStore, LeaderElection election) {
        store = monitoredStore;
        leadership = election;
        changeLogWatcher = new ChangeLogWatcher(
                store, eventLoop, log, watchDelayMicros, loss::isSuspended, this::onRecordRead, this::onLossDetected);
        coordinator = new RebuildCoordinator(this, eventLoop, settings, httpClient, store, leadership, revisions, loss);
        termEvidence = new TermEvidence(store, revisions, this::onLossDetected);
        recordWriter = new RecoveryRecordWriter(
                store,
                eventLoop,
                () -> loss.isUnrecorded() ? openRecord() : null,
                loss::isRepairedBy,
                this::onOpenRecordRead);
        changeLogWatcher.restart();
        exchangePeriodically();
    }

    /**
     * Handles a user's request unless a loss is known or possible. If a loss is detected before the response is
     * complete, the request is refused as well, since the response may be based on state from which writes are missing.
     */
    public CompletableFuture<HttpResponse> handleUserRequest(Supplier<CompletableFuture<HttpResponse>> handler) {
        if (loss.isSuspended() || !peersConsulted || changeLogWatcher.isLagging()) {
            return CompletableFuture.completedFuture(unavailable());
        }
        long lossEpochBefore = loss.lossEpoch();
        return handler.get().thenApply(response -> loss.lossEpoch() == lossEpochBefore ? response : unavailable());
    }

    private HttpResponse unavailable() {
        return loss.isSuspended()
                ? HttpResponse.retryLater(
                        503, "the state service has lost writes, which are being put back", RETRY_SECONDS)
                : HttpResponse.retryLater(503, "it is not known yet whether the state service has lost writes", 1);
    }

    /** A term that the next one has to lie above, or 0 if no loss is known. */
    public long termFloor() {
        return loss.isSuspended() ? highestKnownTerm() + TERM_GAP : 0;
    }

    private long highestKnownTerm() {
        return Math.max(
                revisions.highWatermarks().term(), leadership.knownLeader().term());
    }

    // --- Detection ---------------------------------------------------------------------------------------------------

    /** Opens a loss that this controller has detected. */
    private void onLossDetected(String evidence) {
        suspend(loss.generation() + 1, evidence + " (seen by " + settings.nodeName() + ")", false);
        loss.markLocallyDetected();
        // Storing the record raises the store revision. After a small loss a few writes bring the revision back to its
        // former value, and the peers could no longer detect the loss; so they are notified first.
        peerExchange.exchangeWithAll().thenRun(recordWriter::storeOpenRecord);
        eventLoop.schedule(PEER_NOTICE_MICROS, recordWriter::storeOpenRecord);
    }

    private void suspend(long newGeneration, String evidence, boolean alreadyRecorded) {
        LOG.error("the state service has lost writes: {}", evidence);
        revisions.beginLossEpoch(loss.isSuspended());
        loss.suspend(newGeneration, evidence, alreadyRecorded);
        changeLogWatcher.stop();
        leadershipLost();
        leadership.resign("the state service has lost writes");
    }

    @Override
    public void observeHeartbeat(Heartbeat heartbeat) {
        long observedTerm = TermEvidence.highestTermIn(heartbeat);
        if (!loss.isSuspended() && observedTerm > highestKnownTerm()) {
            termEvidence.verifyTerm(observedTerm, heartbeat.machine());
        }
    }

    @Override
    public boolean mayAnswer(Heartbeat heartbeat, long term) {
        return termEvidence.mayAnswer(heartbeat, term);
    }

    // --- Recovery record ---------------------------------------------------------------------------------------------

    /** The record of the loss that is open on this controller. */
    RecoveryRecord openRecord() {
        return new RecoveryRecord(loss.generation(), true, settings.nodeName(), loss.evidence(), 0);
    }

    private void onOpenRecordRead(RecoveryRecord stored) {
        if (stored.open()) {
            loss.markRecordStored(stored.generation());
        } else {
            onRecordRead(stored);
        }
    }

    /** Applies a stored recovery record that has been read. */
    void onRecordRead(RecoveryRecord stored) {
        if (!recordRead) {
            recordRead = true;
            peerExchange.exchangeWithAll().thenRun(() -> peersConsulted = true);
        }
        boolean newer = stored.generation() > loss.generation();
        if (stored.open() && newer) {
            suspend(stored.generation(), stored.evidence(), true);
        } else if (!stored.open()
                && loss.isSuspended()
                && stored.generation() >= loss.generation()
                && stored.generation() > 0) {
            if (loss.isRepairedBy(stored)) {
                resume(stored);
            }
        } else if (!stored.open() && newer) {
            // The loss was detected and repaired without this controller, whose change log predates it.
            loss.skipToGeneration(stored.generation());
            revisions.beginLossEpoch(false);
            changeLogWatcher.restart();
        }
    }

    void resume(RecoveryRecord closed) {
        LOG.warn("recovery generation {} is closed; resuming normal operation", closed.generation());
        loss.resume(closed.generation());
        changeLogWatcher.resume(closed.keptRevision());
    }

    // --- Terms -------------------------------------------------------------------------------------------------------

    /** Repairs a known or stored loss after leadership has been acquired, and then begins the term. */
    public void beforeTerm(long term, long leaderRevision, Runnable beginTerm) {
        coordinator.beforeTerm(term, leaderRevision, beginTerm);
    }

    /** Aborts a rebuild in progress after leadership has been lost. */
    public void leadershipLost() {
        coordinator.abort();
    }

    // --- Other controllers -------------------------------------------------------------------------------------------

    private void exchangePeriodically() {
        eventLoop.schedule(EXCHANGE_INTERVAL_MICROS, this::exchangePeriodically);
        peerExchange.exchangeWithAll();
        if (loss.isSuspended()) {
            readRecord();
        } else {
            // If later writes have raised the revision past a small loss, only reading a lost key can reveal it.
            log.latestPermanentKey().ifPresent(store::get);
        }
    }

    PeerStatus ownStatus() {
        return new PeerStatus(
                settings.nodeName(),
                loss.generation(),
                loss.isSuspended(),
                loss.evidence(),
                revisions.storeRevision(),
                highWatermarks());
    }

    /** The highest values before the loss, as far as this controller knows them. */
    HighWatermarks highWatermarks() {
        return revisions.highWatermarks().withTerm(leadership.knownLeader().term());
    }

    /** Applies the status of another controller. */
    void onPeerStatus(PeerStatus status) {
        long knownTermBefore = highestKnownTerm();
        revisions.raiseTo(status.highWatermarks());
        if (status.suspended() && status.generation() > loss.generation()) {
            suspend(status.generation(), status.evidence(), false);
            recordWriter.storeOpenRecord();
        } else if (!status.suspended() && status.generation() > loss.generation()) {
            readRecord();
        } else if (!status.suspended() && status.generation() < loss.generation() && loss.isSuspended()) {
            // The peer has not noticed the loss yet, so its revision counts only as one that keys may have.
            revisions.raiseTo(HighWatermarks.NONE.withKeyRevision(status.storeRevision()));
        } else if (!status.suspended() && status.generation() == loss.generation() && !loss.isSuspended()) {
            revisions.raiseTo(status.storeRevision());
            if (status.highWatermarks().term() > knownTermBefore) {
                termEvidence.verifyTerm(status.highWatermarks().term(), status.node());
            }
        }
    }

    private void readRecord() {
        store.get(RecoveryRecord.KEY).thenAccept(read -> {
            if (read.outcome() == StoreOutcome.OK) {
                onRecordRead(RecoveryRecord.of(read));
            }
            recordWriter.storeOpenRecord();
        });
    }

    /**
     * Called when the leader that repairs the generation requests this controller's change log; from then on this
     * controller stays suspended until the generation is closed.
     */
    void onSnapshotRequested(long requestedGeneration) {
        if (requestedGeneration > loss.generation()) {
            suspend(requestedGeneration, "another controller puts lost writes back", true);
        }
        loss.markCollected(requestedGeneration);
    }

    /** Handles a request of another controller or an operator. */
    public HttpResponse handle(HttpRequest request) {
        return api.handle(request);
    }

    /** True if requests to the route are handled by {@link #handle}. */
    public static boolean handlesRoute(String route) {
        return RecoveryApi.handlesRoute(route);
    }

    // --- Status and metrics ------------------------------------------------------------------------------------------

    long generation() {
        return loss.generation();
    }

    boolean isSuspended() {
        return loss.isSuspended();
    }

    String evidence() {
        return loss.evidence();
    }

    /** The content of this controller's change log. */
    Snapshot snapshot() {
        return log.snapshot(revisions.observedBeforeLossMicros());
    }

    ChangeLog log() {
        return log;
    }

    long storeRevision() {
        return revisions.storeRevision();
    }

    String leader() {
        return leadership.knownLeader().node();
    }

    /** The rebuild in progress on this controller, or null. */
    StoreRebuild rebuild() {
        return loss.isSuspended() && leadership.heldTerm() > 0 ? coordinator.current() : null;
    }

    /** The values of the metrics by their names. */
    public Map<String, Double> gauges() {
        Map<String, Double> gauges = new TreeMap<>();
        gauges.put("sillreel.recovery.suspended", loss.isSuspended() ? 1.0 : 0.0);
        gauges.put("sillreel.recovery.generation", (double) loss.generation());
        gauges.put("sillreel.recovery.remembered.bytes", (double) log.sizeBytes());
        gauges.put("sillreel.recovery.restored", coordinator == null ? 0.0 : coordinator.restoredCount());
        return gauges;
    }
}
