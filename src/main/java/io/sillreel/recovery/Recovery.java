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
 * One controller's part in noticing that the state service has lost writes and in making that good. While a loss is
 * known and not made good the controller is suspended: it launches, rents and returns nothing and answers no user.
 */
public final class Recovery implements HeartbeatObserver {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    /**
     * So much higher than every term that was shown begins the first one after a loss: some may have been taken that
     * nobody who is left has heard of. A term is taken at most every three seconds, so that covers most of an hour.
     */
    static final long TERM_GAP = 1_000;

    private static final long EXCHANGE_INTERVAL_MICROS = 1_000_000;
    /** The others are told of a loss for so long before it is stored. */
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
    /** True once it is known whether a loss is stored, and each other controller has said what it knows, or has not. */
    private boolean peersConsulted;

    private RebuildCoordinator coordinator;

    /**
     * @param caller for what is said to other controllers
     * @param maxChangeLogBytes what recent changes may take of the memory
     * @param watchDelayMicros how long changes gather before they are asked for
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

    /** What asks the state service through this is watched for signs of a loss. */
    public HttpClient monitor(HttpClient storeClient) {
        return new StoreMonitor(storeClient, eventLoop, revisions, log, loss::isSuspended, this::onLossDetected);
    }

    /** Begins; both have to ask through {@link #monitor}. */
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
     * Answers a user's question unless a loss is known, or is noticed before the answer is there: what it rests on may
     * have been read from the older state.
     */
    public CompletableFuture<HttpResponse> guard(Supplier<CompletableFuture<HttpResponse>> handler) {
        if (loss.isSuspended() || !peersConsulted || changeLogWatcher.isLagging()) {
            return CompletableFuture.completedFuture(unavailable());
        }
        long epochBefore = loss.epoch();
        return handler.get().thenApply(response -> loss.epoch() == epochBefore ? response : unavailable());
    }

    private HttpResponse unavailable() {
        return loss.isSuspended()
                ? HttpResponse.retryLater(
                        503, "the state service has lost writes, which are being put back", RETRY_SECONDS)
                : HttpResponse.retryLater(503, "it is not known yet whether the state service has lost writes", 1);
    }

    /** The next term has to lie above this one. */
    public long termFloor() {
        return loss.isSuspended() ? highestKnownTerm() + TERM_GAP : 0;
    }

    private long highestKnownTerm() {
        return Math.max(
                revisions.highWatermarks().term(), leadership.knownLeader().term());
    }

    // --- Evidence ----------------------------------------------------------------------------------------------------

    /** Something has shown that writes are lost. */
    private void onLossDetected(String evidence) {
        suspend(loss.generation() + 1, evidence + " (seen by " + settings.nodeName() + ")", false);
        loss.markLocallyDetected();
        // The verdict is a write, and few writes make up for a small loss: the others would no longer notice it.
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

    // --- The verdict -------------------------------------------------------------------------------------------------

    /** The record of the loss that is open here. */
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

    /** A stored verdict has been read. */
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
            // It was noticed and made good without this controller, whose memory is of the time before.
            loss.skipToGeneration(stored.generation());
            revisions.beginLossEpoch(false);
            changeLogWatcher.restart();
        }
    }

    void resume(RecoveryRecord closed) {
        LOG.warn("generation {} is closed: the state service is relied on again", closed.generation());
        loss.resume(closed.generation());
        changeLogWatcher.resume(closed.keptRevision());
    }

    // --- Terms -------------------------------------------------------------------------------------------------------

    /** Leadership has been acquired: a loss that is known or stored is repaired before the term begins. */
    public void beforeTerm(long term, long leaderRevision, Runnable beginTerm) {
        coordinator.beforeTerm(term, leaderRevision, beginTerm);
    }

    /** Leadership has been lost. */
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
            // A loss of few writes that others have made up for shows only where the lost keys are read.
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

    /** What was reached before the loss, as far as it is known here. */
    HighWatermarks highWatermarks() {
        return revisions.highWatermarks().withTerm(leadership.knownLeader().term());
    }

    /** Another controller has said how it sees the state service. */
    void onPeerStatus(PeerStatus status) {
        long knownTermBefore = highestKnownTerm();
        revisions.raiseTo(status.highWatermarks());
        if (status.suspended() && status.generation() > loss.generation()) {
            suspend(status.generation(), status.evidence(), false);
            recordWriter.storeOpenRecord();
        } else if (!status.suspended() && status.generation() > loss.generation()) {
            readRecord();
        } else if (!status.suspended() && status.generation() < loss.generation() && loss.isSuspended()) {
            // It has not noticed the loss yet.
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
     * Whoever puts writes back under the generation says so; from then on nothing is stored here until it is closed.
     */
    void onSnapshotRequested(long requestedGeneration) {
        if (requestedGeneration > loss.generation()) {
            suspend(requestedGeneration, "another controller puts lost writes back", true);
        }
        loss.markCollected(requestedGeneration);
    }

    /** What another controller or an operator asks. */
    public HttpResponse handle(HttpRequest request) {
        return api.handle(request);
    }

    /** True if a request is for this package. */
    public static boolean handlesRoute(String route) {
        return RecoveryApi.handlesRoute(route);
    }

    // --- For display -------------------------------------------------------------------------------------------------

    long generation() {
        return loss.generation();
    }

    boolean isSuspended() {
        return loss.isSuspended();
    }

    String evidence() {
        return loss.evidence();
    }

    /** What this controller remembers. */
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

    /** The putting back that is under way here, or null. */
    StoreRebuild rebuild() {
        return loss.isSuspended() && leadership.heldTerm() > 0 ? coordinator.current() : null;
    }

    /** For metrics. */
    public Map<String, Double> gauges() {
        Map<String, Double> gauges = new TreeMap<>();
        gauges.put("sillreel.recovery.suspended", loss.isSuspended() ? 1.0 : 0.0);
        gauges.put("sillreel.recovery.generation", (double) loss.generation());
        gauges.put("sillreel.recovery.remembered.bytes", (double) log.sizeBytes());
        gauges.put("sillreel.recovery.restored", coordinator == null ? 0.0 : coordinator.restoredCount());
        return gauges;
    }
}
