package io.sillreel.recovery;

import io.sillreel.agent.Heartbeat;
import io.sillreel.heartbeat.HeartbeatObserver;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.recovery.ChangeLog.Memory;
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
    private static final long RETRY_MICROS = 300_000;
    /** The others are told of a loss for so long before it is stored. */
    private static final long TELL_FIRST_MICROS = 200_000;

    private static final int RETRY_SECONDS = 5;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final HttpClient httpClient;
    private final StoreHistory history = new StoreHistory();
    private final ChangeLog log;
    private final long followPauseMicros;
    private final PeerExchange peerExchange;
    private final RecoveryApi api;
    private StateStore store;
    private LeaderElection leadership;
    private ChangeFollower follower;
    private TermEvidence termEvidence;
    private RecoveryGenerationStore generationStore;

    private long generation;
    private boolean suspended;
    private boolean recordStored;
    private boolean ownEvidence;
    /** The last generation under which what is remembered here was asked for. */
    private long collectedGeneration;

    private boolean recordRead;
    /** True once it is known whether a loss is stored, and each other controller has said what it knows, or has not. */
    private boolean peersConsulted;

    private String evidence = "";
    private StoreRebuild rebuild;
    /** Counts the losses that this controller has noticed; what began before one ends without effect. */
    private long suspensions;

    /**
     * @param caller for what is said to other controllers
     * @param rememberedBytes what recent changes may take of the memory
     * @param followPauseMicros how long changes gather before they are asked for
     */
    public Recovery(
            EventLoop eventLoop,
            Settings settings,
            HttpClient httpClient,
            long rememberedBytes,
            long followPauseMicros) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.httpClient = httpClient;
        this.log = new ChangeLog(rememberedBytes);
        this.followPauseMicros = followPauseMicros;
        this.api = new RecoveryApi(this, settings);
        this.peerExchange = new PeerExchange(httpClient, settings.members(), this::ownStatus, this::onPeerStatus);
    }

    /** What asks the state service through this is watched for signs of a loss. */
    public HttpClient monitor(HttpClient inner) {
        return new StoreMonitor(inner, eventLoop, history, log, () -> suspended, this::onLossDetected);
    }

    /** Begins; both have to ask through {@link #monitor}. */
    public void start(StateStore monitoredStore, LeaderElection itsLeadership) {
        store = monitoredStore;
        leadership = itsLeadership;
        follower = new ChangeFollower(
                store, eventLoop, log, followPauseMicros, () -> suspended, this::onRecordRead, this::onLossDetected);
        termEvidence = new TermEvidence(store, history, this::onLossDetected);
        generationStore = new RecoveryGenerationStore(
                store,
                eventLoop,
                () -> suspended && !recordStored ? openRecord() : null,
                this::isRepairedBy,
                this::onOpenRecordRead);
        follower.restart();
        exchangePeriodically();
    }

    /**
     * Answers a user's question unless a loss is known, or is noticed before the answer is there: what it rests on may
     * have been read from the older state.
     */
    public CompletableFuture<HttpResponse> guard(Supplier<CompletableFuture<HttpResponse>> question) {
        if (suspended || !peersConsulted || follower.isBehind()) {
            return CompletableFuture.completedFuture(refusal());
        }
        long before = suspensions;
        return question.get().thenApply(response -> suspensions == before ? response : refusal());
    }

    private HttpResponse refusal() {
        return suspended
                ? HttpResponse.retryLater(
                        503, "the state service has lost writes, which are being put back", RETRY_SECONDS)
                : HttpResponse.retryLater(503, "it is not known yet whether the state service has lost writes", 1);
    }

    /** The next term has to lie above this one. */
    public long termFloor() {
        return suspended ? highestShownTerm() + TERM_GAP : 0;
    }

    private long highestShownTerm() {
        return Math.max(
                history.highWatermarks().term(), leadership.knownLeader().term());
    }

    // --- Evidence ----------------------------------------------------------------------------------------------------

    /** Something has shown that writes are lost. */
    private void onLossDetected(String shown) {
        suspend(generation + 1, shown + " (seen by " + settings.nodeName() + ")", false);
        ownEvidence = true;
        // The verdict is a write, and few writes make up for a small loss: the others would no longer notice it.
        peerExchange.exchangeWithAll().thenRun(generationStore::storeOpenRecord);
        eventLoop.schedule(TELL_FIRST_MICROS, generationStore::storeOpenRecord);
    }

    private void suspend(long newGeneration, String shown, boolean stored) {
        LOG.error("the state service has lost writes: {}", shown);
        history.beginLossEpoch(suspended);
        suspensions++;
        suspended = true;
        recordStored = stored;
        ownEvidence = false;
        generation = newGeneration;
        evidence = shown;
        follower.stop();
        leadershipLost();
        leadership.resign("the state service has lost writes");
    }

    @Override
    public void observeHeartbeat(Heartbeat heartbeat) {
        long shown = TermEvidence.termShownBy(heartbeat);
        if (!suspended && shown > highestShownTerm()) {
            termEvidence.verifyTerm(shown, heartbeat.machine());
        }
    }

    @Override
    public boolean mayAnswer(Heartbeat heartbeat, long term) {
        return termEvidence.mayAnswer(heartbeat, term);
    }

    // --- The verdict -------------------------------------------------------------------------------------------------

    private RecoveryRecord openRecord() {
        return new RecoveryRecord(generation, true, settings.nodeName(), evidence, 0);
    }

    /**
     * True if what this controller remembers has been taken into account under a verdict that is closed by now. Who has
     * seen a loss itself and was not asked may remember more.
     */
    private boolean isRepairedBy(RecoveryRecord closed) {
        return !ownEvidence || collectedGeneration >= closed.generation();
    }

    private void onOpenRecordRead(RecoveryRecord stored) {
        if (stored.open()) {
            recordStored = true;
            generation = Math.max(generation, stored.generation());
        } else {
            onRecordRead(stored);
        }
    }

    /** A stored verdict has been read. */
    private void onRecordRead(RecoveryRecord stored) {
        if (!recordRead) {
            recordRead = true;
            peerExchange.exchangeWithAll().thenRun(() -> peersConsulted = true);
        }
        boolean newer = stored.generation() > generation;
        if (stored.open() && newer) {
            suspend(stored.generation(), stored.evidence(), true);
        } else if (!stored.open() && suspended && stored.generation() >= generation && stored.generation() > 0) {
            if (isRepairedBy(stored)) {
                resume(stored);
            }
        } else if (!stored.open() && newer) {
            // It was noticed and made good without this controller, whose memory is of the time before.
            generation = stored.generation();
            suspensions++;
            history.beginLossEpoch(false);
            follower.restart();
        }
    }

    private void resume(RecoveryRecord closed) {
        LOG.warn("generation {} is closed: the state service is relied on again", closed.generation());
        suspended = false;
        generation = closed.generation();
        evidence = "";
        follower.resume(closed.kept());
    }

    // --- Terms -------------------------------------------------------------------------------------------------------

    /** The lease has been taken: a loss that is known or stored is made good before the term begins. */
    public void beforeTerm(long term, long leaderRevision, Runnable begin) {
        store.get(RecoveryRecord.KEY).thenAccept(read -> {
            if (leadership.heldTerm() != term) {
                return;
            }
            if (!read.isConclusive()) {
                eventLoop.schedule(RETRY_MICROS, () -> beforeTerm(term, leaderRevision, begin));
                return;
            }
            boolean suspendedBefore = suspended;
            RecoveryRecord stored = RecoveryRecord.of(read);
            onRecordRead(stored);
            if (suspended && suspendedBefore) {
                if (!stored.open()) {
                    generation = Math.max(generation, stored.generation() + 1);
                }
                rebuild(term, leaderRevision, begin);
            } else if (!suspended) {
                begin.run();
            }
            // Else the term was taken without regard to those that may have been lost, and has just been given up.
        });
    }

    private void rebuild(long term, long leaderRevision, Runnable begin) {
        if (leadership.heldTerm() != term) {
            return;
        }
        CollectedMemories memories = new CollectedMemories();
        memories.add(settings.nodeName(), memory());
        StoreRebuild current = new StoreRebuild(
                new RebuildLease(eventLoop, store, leadership, term, leaderRevision),
                settings,
                history,
                memories,
                new PeerMemoryCollector(httpClient, history, memories),
                openRecord(),
                () -> {
                    resume(rebuild.record());
                    begin.run();
                });
        rebuild = current;
        collectedGeneration = generation;
        current.start();
    }

    /** The lease has been lost. */
    public void leadershipLost() {
        if (rebuild != null) {
            rebuild.end();
        }
    }

    // --- Other controllers -------------------------------------------------------------------------------------------

    private void exchangePeriodically() {
        eventLoop.schedule(EXCHANGE_INTERVAL_MICROS, this::exchangePeriodically);
        peerExchange.exchangeWithAll();
        if (suspended) {
            readRecord();
        } else {
            // A loss of few writes that others have made up for shows only where the lost keys are read.
            log.latestPermanentKey().ifPresent(store::get);
        }
    }

    PeerStatus ownStatus() {
        return new PeerStatus(
                settings.nodeName(), generation, suspended, evidence, history.storeRevision(), highWatermarks());
    }

    /** What was reached before the loss, as far as it is known here. */
    HighWatermarks highWatermarks() {
        return history.highWatermarks().withTerm(leadership.knownLeader().term());
    }

    /** Another controller has said how it sees the state service. */
    void onPeerStatus(PeerStatus status) {
        long shownBefore = highestShownTerm();
        history.learn(status.highWatermarks());
        if (status.suspended() && status.generation() > generation) {
            suspend(status.generation(), status.evidence(), false);
            generationStore.storeOpenRecord();
        } else if (!status.suspended() && status.generation() > generation) {
            readRecord();
        } else if (!status.suspended() && status.generation() < generation && suspended) {
            // It has not noticed the loss yet.
            history.learn(HighWatermarks.NONE.withKeyRevision(status.storeRevision()));
        } else if (!status.suspended() && status.generation() == generation && !suspended) {
            history.learn(status.storeRevision());
            if (status.highWatermarks().term() > shownBefore) {
                termEvidence.verifyTerm(status.highWatermarks().term(), status.node());
            }
        }
    }

    private void readRecord() {
        store.get(RecoveryRecord.KEY).thenAccept(read -> {
            if (read.outcome() == StoreOutcome.OK) {
                onRecordRead(RecoveryRecord.of(read));
            }
            generationStore.storeOpenRecord();
        });
    }

    /**
     * Whoever puts writes back under the generation says so; from then on nothing is stored here until it is closed.
     */
    void onMemoryCollected(long asked) {
        if (asked > generation) {
            suspend(asked, "another controller puts lost writes back", true);
        }
        collectedGeneration = Math.max(collectedGeneration, asked);
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
        return generation;
    }

    boolean suspended() {
        return suspended;
    }

    String evidence() {
        return evidence;
    }

    /** What this controller remembers. */
    Memory memory() {
        return log.memory(history.seenBeforeLossMicros());
    }

    ChangeLog log() {
        return log;
    }

    long storeRevision() {
        return history.storeRevision();
    }

    String leader() {
        return leadership.knownLeader().node();
    }

    /** The putting back that is under way here, or null. */
    StoreRebuild rebuild() {
        return suspended && leadership.heldTerm() > 0 ? rebuild : null;
    }

    /** For metrics. */
    public Map<String, Double> gauges() {
        Map<String, Double> gauges = new TreeMap<>();
        gauges.put("sillreel.recovery.suspended", suspended ? 1.0 : 0.0);
        gauges.put("sillreel.recovery.generation", (double) generation);
        gauges.put("sillreel.recovery.remembered.bytes", (double) log.bytes());
        gauges.put("sillreel.recovery.restored", rebuild == null ? 0.0 : rebuild.restored());
        return gauges;
    }
}
