package io.sillreel.leadership;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.StoredEntry;
import io.sillreel.statestore.Transaction;
import io.sillreel.statestore.WatchEvent;
import io.sillreel.statestore.WatchResult;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects a single leader among the controllers. The {@code leader} key is bound to a lease in the state service, so it
 * is deleted when the leader stops renewing the lease; the {@code term} key counts the elections. Both are written in
 * one transaction, which at most one candidate can commit. All times are microseconds of the steady clock. Methods are
 * called on the event loop; the query methods are safe on any thread.
 */
public final class LeaderElection {
    /** The key that names the leader; all writes of a term are conditional on its revision. */
    public static final String LEADER_KEY = "leader";
    /** The key that holds the number of the latest term. */
    public static final String TERM_KEY = "term";

    /**
     * The leader as far as this controller knows.
     *
     * @param node the name of the leading controller, or null if none is known
     * @param term the highest term that is known
     */
    public record Leader(String node, long term) {}

    /** Notified on the event loop when this controller acquires or loses leadership. */
    public interface Listener {
        /** This controller has been elected. */
        void leadershipAcquired(TermGrant grant);

        /** The term has ended for this controller: it must not write or launch anything under it any more. */
        void leadershipLost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final long WATCH_BLOCK_MICROS = 2_000_000;
    /** A follower reads the key again after this many watches, in case it was removed without a watch event. */
    private static final int WATCHES_PER_READ = 10;

    private static final long RETRY_MICROS = 300_000;
    /** How long a controller stays out of elections after an error, so that another one can be elected. */
    private static final long PAUSE_AFTER_ERROR_MICROS = 10_000_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final String node;
    private final long leaseMicros;
    private final LongSupplier termFloor;
    private final HeldLease lease;
    private final LeaseRenewal renewal;

    private Listener listener;
    private Runnable initialElectionCallback = () -> {};
    /** Guarded by this. */
    private Leader knownLeader = new Leader(null, 0);

    private int watchCount;
    /** Guarded by this. */
    private long candidacyResumesMicros = Long.MIN_VALUE;

    /**
     * @param leaseMicros the time after which a lease that is not renewed expires in the state service
     * @param termFloor lower bound: the next term is above it, whatever term is stored
     */
    public LeaderElection(
            StateStore store, EventLoop eventLoop, String node, long leaseMicros, LongSupplier termFloor) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.node = node;
        this.leaseMicros = leaseMicros;
        this.termFloor = termFloor;
        this.lease = new HeldLease(eventLoop, leaseMicros);
        // The watch may not report the removal of the key, so no leader is known once the lease has expired.
        this.renewal = new LeaseRenewal(store, eventLoop, lease, leaseMicros, this::recordVacancy);
    }

    /**
     * Starts to participate in elections.
     *
     * @param leadershipListener notified when this controller acquires or loses leadership
     * @param onInitialElectionCompleted called once, as soon as a leader is known or the state service has failed to
     *     respond
     */
    public void start(Listener leadershipListener, Runnable onInitialElectionCompleted) {
        listener = leadershipListener;
        initialElectionCallback = onInitialElectionCompleted;
        readLeaderKey();
    }

    private void notifyInitialElectionCompleted() {
        Runnable callback = initialElectionCallback;
        initialElectionCallback = () -> {};
        callback.run();
    }

    /** The leader as far as this controller knows; safe on any thread. */
    public synchronized Leader knownLeader() {
        return knownLeader;
    }

    /** The term held, or 0; holding a term does not imply that its lease is still valid. */
    public long heldTerm() {
        return lease.term();
    }

    /** When the last request that granted or renewed the lease was sent, by the steady clock. */
    public long leaseConfirmedMicros() {
        return lease.confirmedMicros();
    }

    /** True while no other controller can have acquired leadership. */
    public boolean isLeaseValid() {
        return lease.isValid();
    }

    /**
     * Records a term that another controller or an agent has reported. A term above the held one ends leadership here.
     *
     * @param leaderNode the leader of that term, or null if it is unknown
     */
    public void observeTerm(String leaderNode, long term) {
        synchronized (this) {
            if (term <= knownLeader.term()) {
                return;
            }
            knownLeader = new Leader(leaderNode, term);
        }
        if (heldTerm() > 0 && term > heldTerm()) {
            loseLeadership("term " + term + " has begun on another controller");
        }
    }

    /** Resigns, if this controller leads, and revokes the lease so that another one can be elected immediately. */
    public void resign(String reason) {
        long leaseId = lease.leaseId();
        if (heldTerm() > 0) {
            loseLeadership(reason);
            store.revokeLease(leaseId);
        }
    }

    /** Resigns after an unexpected error and stays out of elections for some time. */
    void resignAfterError(String reason) {
        pauseCandidacy(PAUSE_AFTER_ERROR_MICROS);
        resign(reason);
    }

    /** Stays out of elections for the given time, so that another controller can be elected. */
    public synchronized void pauseCandidacy(long durationMicros) {
        candidacyResumesMicros = eventLoop.nowMicros() + durationMicros;
    }

    private synchronized boolean isCandidacyPaused(long nowMicros) {
        return nowMicros < candidacyResumesMicros;
    }

    private void readLeaderKey() {
        whenDone(store.list(LEADER_KEY), "the read of the leader key", listing -> {
            if (listing.outcome() != StoreOutcome.OK) {
                notifyInitialElectionCompleted();
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            StoredEntry entry = listing.entries().stream()
                    .filter(e -> e.key().equals(LEADER_KEY))
                    .findFirst()
                    .orElse(null);
            if (entry == null) {
                recordVacancy();
                campaign(0, listing.storeRevision());
                return;
            }
            recordLeader(LeaderKeyCodec.readLeader(entry.value()));
            if (heldTerm() == 0 && node.equals(knownLeader().node())) {
                // A previous process of this controller held the key and has ended, so its lease need not expire first.
                campaign(entry.revision(), listing.storeRevision());
            } else {
                notifyInitialElectionCompleted();
                watchLeaderKey(listing.storeRevision());
            }
        });
    }

    /** After an error, the election starts again with a read of the leader key. */
    private <T> void whenDone(CompletableFuture<T> future, String work, Consumer<T> callback) {
        eventLoop
                .unexpectedErrors()
                .whenDone(future, work, callback, () -> eventLoop.schedule(RETRY_MICROS, this::readLeaderKey));
    }

    private void watchLeaderKey(long sinceRevision) {
        whenDone(store.watch(LEADER_KEY, sinceRevision, WATCH_BLOCK_MICROS), "the watch of the leader key", result -> {
            if (result.outcome() != StoreOutcome.OK) {
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            if (recordChanges(result)) {
                campaign(0, result.storeRevision());
            } else if (heldTerm() == 0 && (knownLeader().node() == null || ++watchCount % WATCHES_PER_READ == 0)) {
                // A key that was removed without an event, as in a restored state service, would be watched forever.
                readLeaderKey();
            } else {
                watchLeaderKey(result.storeRevision());
            }
        });
    }

    /** Records the changes of the leader key; returns true if the last one removed it. */
    private boolean recordChanges(WatchResult result) {
        boolean vacant = false;
        for (WatchEvent change : result.events()) {
            if (!change.key().equals(LEADER_KEY)) {
                continue;
            }
            vacant = change.value() == null;
            if (vacant) {
                recordVacancy();
            } else {
                recordLeader(LeaderKeyCodec.readLeader(change.value()));
            }
        }
        return vacant;
    }

    private void recordVacancy() {
        synchronized (this) {
            knownLeader = new Leader(null, knownLeader.term());
        }
        loseLeadership("the lease expired");
    }

    private void recordLeader(Leader leader) {
        long heldTerm = heldTerm();
        synchronized (this) {
            if (leader.term() >= knownLeader.term()) {
                knownLeader = leader;
            }
        }
        if (leader.term() != heldTerm) {
            loseLeadership("term " + leader.term() + " has begun on another controller");
        }
    }

    private void campaign(long leaderRevision, long storeRevision) {
        long sentMicros = eventLoop.nowMicros();
        if (isCandidacyPaused(sentMicros)) {
            watchLeaderKey(storeRevision);
            return;
        }
        whenDone(store.grantLease(leaseMicros), "the grant of a lease", grant -> {
            if (grant.outcome() != StoreOutcome.OK) {
                notifyInitialElectionCompleted();
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            whenDone(store.get(TERM_KEY), "the read of the term", read -> {
                if (!read.isConclusive()) {
                    notifyInitialElectionCompleted();
                    store.revokeLease(grant.leaseId());
                    eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                    return;
                }
                claimLeadership(grant.leaseId(), sentMicros, leaderRevision, read);
            });
        });
    }

    /** Decodes the latest term from a read of {@link #TERM_KEY}; 0 before the first term. */
    public static long storedTerm(ReadResult read) {
        return read.entry().isEmpty()
                ? 0
                : LeaderKeyCodec.readTerm(read.entry().get().value());
    }

    /**
     * Writes the leader key and the next term in one transaction.
     *
     * @param sentMicros when the lease was requested
     * @param leaderRevision the expected revision of the leader key, 0 if the key must not exist
     */
    private void claimLeadership(long leaseId, long sentMicros, long leaderRevision, ReadResult termRead) {
        long term = 1 + Math.max(storedTerm(termRead), termFloor.getAsLong());
        Leader self = new Leader(node, term);
        Transaction transaction = new Transaction()
                .requireRevision(LEADER_KEY, leaderRevision)
                .requireRevision(TERM_KEY, termRead.revision())
                .set(LEADER_KEY, LeaderKeyCodec.writeLeader(self), leaseId)
                .set(TERM_KEY, LeaderKeyCodec.writeTerm(term));
        whenDone(store.commit(transaction), "the result of an election", commit -> {
            if (commit.outcome() != StoreOutcome.OK) {
                // Lost the race, or the outcome is unknown: revoking the lease also undoes a late success.
                store.revokeLease(leaseId);
                eventLoop.schedule(commit.outcome() == StoreOutcome.CONFLICT ? 0 : RETRY_MICROS, this::readLeaderKey);
                return;
            }
            synchronized (this) {
                lease.acquired(leaseId, term, sentMicros);
                knownLeader = self;
            }
            LOG.info("acquired leadership: term {}", term);
            beginTerm(new TermGrant(term, commit.storeRevision()));
            notifyInitialElectionCompleted();
            renewal.start();
            watchLeaderKey(commit.storeRevision());
        });
    }

    /** A controller that can't begin its term lets another one lead. */
    private void beginTerm(TermGrant grant) {
        boolean hasBegun = eventLoop
                .unexpectedErrors()
                .runConfined("the beginning of term " + grant.term(), () -> listener.leadershipAcquired(grant));
        if (!hasBegun) {
            resignAfterError("the term could not begin");
        }
    }

    private void loseLeadership(String reason) {
        long term = lease.release();
        if (term > 0) {
            LOG.info("lost leadership of term {}: {}", term, reason);
            listener.leadershipLost(reason);
        }
    }
}
