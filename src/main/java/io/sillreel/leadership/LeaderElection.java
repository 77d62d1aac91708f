package io.sillreel.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.Json;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.StoredEntry;
import io.sillreel.statestore.Transaction;
import io.sillreel.statestore.WatchEvent;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one lease that lets a controller drive the pipelines. The {@code leader} key sits on a lease of the state
 * service, the {@code term} key counts how often it was taken; both are written in one transaction.
 */
public final class LeaderElection {
    public static final String LEADER_KEY = "leader";
    public static final String TERM_KEY = "term";

    /** Who leads as far as this controller has heard; the name is null if nobody. */
    public record Leader(String node, long term) {}

    /** Told in the loop when the lease is taken and when it is lost. */
    public interface Listener {
        void leadershipAcquired(long term, long leaderRevision);

        void leadershipLost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final long WATCH_MICROS = 2_000_000;
    private static final int WATCHES_PER_READ = 10;
    private static final long RETRY_MICROS = 300_000;
    /** Steady clocks drift apart by up to 0.05%; twice that, and the wait of a late timer. */
    private static final long DRIFT_DIVISOR = 1_000;

    private static final long TIMER_MARGIN_MICROS = 50_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final String node;
    private final long leaseMicros;
    private final Listener listener;
    private final LongSupplier termFloor;

    private Leader knownLeader = new Leader(null, 0);
    private long leaseId;
    private long heldTerm;
    private long leaseConfirmedMicros;
    private boolean renewing;
    private int watchCount;
    private long candidacyResumesMicros = Long.MIN_VALUE;
    private Runnable onSettled = () -> {};

    /**
     * @param leaseMicros the lifetime of the lease in the state service
     * @param listener told when this controller gains or loses the lease
     * @param termFloor a term that the next one has to lie above, whatever is stored
     */
    public LeaderElection(
            StateStore store,
            EventLoop eventLoop,
            String node,
            long leaseMicros,
            Listener listener,
            LongSupplier termFloor) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.node = node;
        this.leaseMicros = leaseMicros;
        this.listener = listener;
        this.termFloor = termFloor;
    }

    /** @param settled done once it is known who leads, or that this can't be known now */
    public void start(Runnable settled) {
        onSettled = settled;
        readLeaderKey();
    }

    private void notifySettled() {
        Runnable then = onSettled;
        onSettled = () -> {};
        then.run();
    }

    public synchronized Leader knownLeader() {
        return knownLeader;
    }

    /** The term held, or 0; holding is not yet being allowed to act. */
    public synchronized long heldTerm() {
        return heldTerm;
    }

    /** When the last renewal that was granted had been sent. */
    public synchronized long leaseConfirmedMicros() {
        return leaseConfirmedMicros;
    }

    /** True while nobody else can have taken the lease. */
    public synchronized boolean isLeaseValid() {
        return heldTerm > 0
                && eventLoop.nowMicros()
                        < leaseConfirmedMicros + leaseMicros - leaseMicros / DRIFT_DIVISOR - TIMER_MARGIN_MICROS;
    }

    /** Another controller or a worker has shown a term; a higher one than ours ends our holding. */
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

    /** Gives the lease up, so that another controller can take it at once. */
    public void resign(String reason) {
        long granted = leaseId;
        if (heldTerm() > 0) {
            loseLeadership(reason);
            store.revokeLease(granted);
        }
    }

    /** Does not try to take the lease for so long, so that another controller can. */
    public synchronized void pauseCandidacy(long forMicros) {
        candidacyResumesMicros = eventLoop.nowMicros() + forMicros;
    }

    private void readLeaderKey() {
        store.list(LEADER_KEY).thenAccept(listing -> {
            if (listing.outcome() != StoreOutcome.OK) {
                notifySettled();
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            StoredEntry entry = listing.entries().stream()
                    .filter(e -> e.key().equals(LEADER_KEY))
                    .findFirst()
                    .orElse(null);
            if (entry == null) {
                recordLeader(null, 0);
                grantLease(0, listing.storeRevision());
            } else {
                recordLeader(
                        entry.value().path("node").asText(),
                        entry.value().path("term").asLong());
                if (heldTerm() == 0 && node.equals(knownLeader().node())) {
                    // Our own earlier life: it is dead, so there is nobody to wait for.
                    grantLease(entry.revision(), listing.storeRevision());
                } else {
                    notifySettled();
                    watchLeaderKey(listing.storeRevision());
                }
            }
        });
    }

    private void watchLeaderKey(long since) {
        store.watch(LEADER_KEY, since, WATCH_MICROS).thenAccept(result -> {
            if (result.outcome() != StoreOutcome.OK) {
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            boolean vacant = false;
            for (WatchEvent change : result.events()) {
                if (!change.key().equals(LEADER_KEY)) {
                    continue;
                }
                vacant = change.value() == null;
                if (vacant) {
                    recordLeader(null, 0);
                } else {
                    recordLeader(
                            change.value().path("node").asText(),
                            change.value().path("term").asLong());
                }
            }
            if (vacant) {
                grantLease(0, result.storeRevision());
            } else if (heldTerm() == 0 && (knownLeader().node() == null || ++watchCount % WATCHES_PER_READ == 0)) {
                // A key that has vanished without a change would be watched for ever.
                readLeaderKey();
            } else {
                watchLeaderKey(result.storeRevision());
            }
        });
    }

    private void recordLeader(String leaderNode, long term) {
        long held = heldTerm();
        synchronized (this) {
            if (leaderNode == null) {
                knownLeader = new Leader(null, knownLeader.term());
            } else if (term >= knownLeader.term()) {
                knownLeader = new Leader(leaderNode, term);
            }
        }
        if (held > 0 && (leaderNode == null || term != held)) {
            loseLeadership(
                    leaderNode == null ? "the lease expired" : "term " + term + " has begun on another controller");
        }
    }

    private void grantLease(long leaderRevision, long storeRevision) {
        long sent = eventLoop.nowMicros();
        if (sent < candidacyResumesMicros) {
            watchLeaderKey(storeRevision);
            return;
        }
        store.grantLease(leaseMicros).thenAccept(grant -> {
            if (grant.outcome() != StoreOutcome.OK) {
                notifySettled();
                eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                return;
            }
            store.get(TERM_KEY).thenAccept(read -> {
                if (!read.isConclusive()) {
                    notifySettled();
                    store.revokeLease(grant.leaseId());
                    eventLoop.schedule(RETRY_MICROS, this::readLeaderKey);
                    return;
                }
                long term = 1 + Math.max(storedTerm(read), termFloor.getAsLong());
                claimLeadership(grant.leaseId(), sent, leaderRevision, read.revision(), term, storeRevision);
            });
        });
    }

    /** The last term that was taken, as it was read under {@link #TERM_KEY}; 0 before the first one. */
    public static long storedTerm(ReadResult read) {
        return read.entry() == null ? 0 : read.entry().value().path("term").asLong();
    }

    private void claimLeadership(
            long granted, long sent, long leaderRevision, long termRevision, long term, long storeRevision) {
        ObjectNode leader = Json.object().put("node", node).put("term", term);
        Transaction transaction = new Transaction()
                .requireRevision(LEADER_KEY, leaderRevision)
                .requireRevision(TERM_KEY, termRevision)
                .set(LEADER_KEY, leader, granted)
                .set(TERM_KEY, Json.object().put("term", term));
        store.commit(transaction).thenAccept(commit -> {
            if (commit.outcome() != StoreOutcome.OK) {
                // Lost the race, or can't know: the lease is ended so that a late success does not linger.
                store.revokeLease(granted);
                eventLoop.schedule(commit.outcome() == StoreOutcome.CONFLICT ? 0 : RETRY_MICROS, this::readLeaderKey);
                return;
            }
            synchronized (this) {
                leaseId = granted;
                heldTerm = term;
                leaseConfirmedMicros = sent;
                knownLeader = new Leader(node, term);
            }
            LOG.info("acquired leadership: term {}", term);
            listener.leadershipAcquired(term, commit.storeRevision());
            notifySettled();
            eventLoop.schedule(leaseMicros / 3, this::renewLease);
            watchLeaderKey(commit.storeRevision());
        });
    }

    private void renewLease() {
        long granted;
        synchronized (this) {
            if (heldTerm == 0 || renewing) {
                return;
            }
            renewing = true;
            granted = leaseId;
        }
        long sent = eventLoop.nowMicros();
        store.renewLease(granted).thenAccept(outcome -> {
            boolean ours;
            synchronized (this) {
                renewing = false;
                ours = heldTerm > 0 && leaseId == granted;
                if (ours && outcome == StoreOutcome.OK) {
                    leaseConfirmedMicros = Math.max(leaseConfirmedMicros, sent);
                }
            }
            if (!ours) {
                return;
            }
            if (outcome == StoreOutcome.NOT_FOUND) {
                // Whether the end of the key is seen by a watch or not: nobody leads as far as is known here.
                recordLeader(null, 0);
                return;
            }
            long wait = outcome == StoreOutcome.OK ? leaseMicros / 3 - (eventLoop.nowMicros() - sent) : RETRY_MICROS;
            eventLoop.schedule(Math.max(wait, RETRY_MICROS / 3), this::renewLease);
        });
    }

    private void loseLeadership(String reason) {
        synchronized (this) {
            if (heldTerm == 0) {
                return;
            }
            LOG.info("lost leadership of term {}: {}", heldTerm, reason);
            heldTerm = 0;
            leaseId = 0;
        }
        listener.leadershipLost(reason);
    }
}
