package io.sillreel.recovery;

import io.sillreel.settings.Settings;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts back what the state service has lost, under one term of the lease: stores the verdict, collects what the
 * controllers remember, raises the revision above every one that was ever reached, so that no stamp means two things,
 * and writes what is missing. It may be begun anew by any later leader, at any point.
 */
final class StoreRebuild {
    /** How far it has come. */
    enum Step {
        OPENING,
        COLLECTING,
        RAISING,
        RESTORING,
        /** All that is remembered has been put back, and that may not be everything. */
        INCOMPLETE,
        CLOSING,
        CLOSED
    }

    private static final Logger LOG = LoggerFactory.getLogger(StoreRebuild.class);
    private static final long COLLECT_RETRY_MICROS = 2_000_000;

    private final RebuildLease lease;
    private final Settings settings;
    private final RevisionTracker revisions;
    private final CollectedSnapshots snapshots;
    private final PeerSnapshotCollector collector;
    private final ChangeRestorer restorer;
    private final Runnable onClosed;

    private RecoveryRecord record;
    private long recordRevision;
    private Step step = Step.OPENING;
    private int collectedBefore;
    private String incompleteReason = "";
    private boolean lossAccepted;

    /**
     * @param survivors what this controller remembers
     * @param record the verdict to store
     * @param onClosed run once everything has been put back, or its loss has been accepted
     */
    StoreRebuild(
            RebuildLease lease,
            Settings settings,
            RevisionTracker revisions,
            CollectedSnapshots snapshots,
            PeerSnapshotCollector collector,
            RecoveryRecord record,
            Runnable onClosed) {
        this.lease = lease;
        this.settings = settings;
        this.revisions = revisions;
        this.snapshots = snapshots;
        this.collector = collector;
        this.restorer = new ChangeRestorer(lease, revisions, settings.state().maxTransactionChanges());
        this.record = record;
        this.onClosed = onClosed;
    }

    void start() {
        open();
    }

    /** Ends it: the term is over, or writes have been lost once more. */
    void abort() {
        lease.end();
    }

    /** What could not be put back is given up. */
    void acceptLoss() {
        lossAccepted = true;
        if (step == Step.INCOMPLETE) {
            close();
        }
    }

    Step step() {
        return step;
    }

    /** Why more may have been lost than could be put back; empty if that is not so, or not known yet. */
    String incompleteReason() {
        return incompleteReason;
    }

    long generation() {
        return record.generation();
    }

    RecoveryRecord record() {
        return record;
    }

    int restoredCount() {
        return restorer.restoredCount();
    }

    /** The controllers whose memory has been taken into account. */
    Set<String> collectedFrom() {
        return snapshots.nodes();
    }

    private void open() {
        lease.store().get(RecoveryRecord.KEY).thenAccept(read -> {
            if (lease.isEnded()) {
                return;
            }
            if (!read.isConclusive()) {
                lease.retryLater(this::open);
                return;
            }
            recordRevision = read.revision();
            RecoveryRecord stored = RecoveryRecord.of(read);
            if (stored.generation() > record.generation()) {
                record = stored;
            }
            writeRecord(record, () -> {
                LOG.warn("generation {} is open ({}): putting lost writes back", generation(), record.evidence());
                collect();
            });
        });
    }

    /** Writes the verdict, which also raises the revision by one. */
    private void writeRecord(RecoveryRecord newRecord, Runnable onWritten) {
        Transaction transaction = lease.newTransaction()
                .requireRevision(RecoveryRecord.KEY, recordRevision)
                .set(RecoveryRecord.KEY, newRecord.toJson());
        lease.store().commit(transaction).thenAccept(commit -> {
            if (lease.isEndedAfter(commit)) {
                return;
            }
            if (commit.outcome() == StoreOutcome.OK) {
                recordRevision = commit.storeRevision();
                record = newRecord;
                onWritten.run();
            } else if (commit.outcome() == StoreOutcome.REFUSED) {
                lease.retryLater(() -> writeRecord(newRecord, onWritten));
            } else {
                rereadRecord(newRecord, onWritten);
            }
        });
    }

    private void rereadRecord(RecoveryRecord newRecord, Runnable onWritten) {
        lease.store().get(RecoveryRecord.KEY).thenAccept(read -> {
            if (lease.isEnded()) {
                return;
            }
            if (read.isConclusive()) {
                recordRevision = read.revision();
                lease.retryLater(() -> writeRecord(newRecord, onWritten));
            } else {
                lease.retryLater(() -> rereadRecord(newRecord, onWritten));
            }
        });
    }

    private void collect() {
        step = Step.COLLECTING;
        collector.collect(settings.members(), generation()).thenRun(() -> {
            if (lease.isEnded()) {
                return;
            }
            if (lease.term() < revisions.highWatermarks().term()) {
                // A worker or a controller has seen a later one: its attempts must not be mistaken for ours.
                lease.resign("term " + revisions.highWatermarks().term() + " was reached before the loss");
                return;
            }
            int collected = snapshots.nodes().size();
            if (collected > collectedBefore) {
                collectedBefore = collected;
                raiseRevision();
            } else {
                checkCompleteness();
            }
        });
    }

    /**
     * Until the revision lies above all that were reached, a new change could get the stamp of one that was lost: late
     * transactions would take it for theirs, and controllers would take what they remember for newer.
     */
    private void raiseRevision() {
        step = Step.RAISING;
        if (recordRevision > revisions.highWatermarks().keyRevision()) {
            step = Step.RESTORING;
            restorer.restore(snapshots.newestFirst(), snapshots::isObservedBeforeLoss, this::checkCompleteness);
        } else {
            writeRecord(record, this::raiseRevision);
        }
    }

    private void checkCompleteness() {
        Optional<String> reason = snapshots
                .findGap(members(), restorer.keptRevision(), revisions.highWatermarks(), 2 * settings.clockSkewMicros())
                .or(() -> restorer.oversizedKey().map(key -> key + " is larger than the state service takes now"));
        if (reason.isEmpty() || lossAccepted) {
            close();
            return;
        }
        if (!reason.get().equals(incompleteReason)) {
            LOG.error("generation {} stays open: {}", generation(), reason.get());
        }
        incompleteReason = reason.get();
        step = Step.INCOMPLETE;
        lease.schedule(COLLECT_RETRY_MICROS, () -> {
            if (step == Step.INCOMPLETE) {
                collect();
            }
        });
    }

    private List<String> members() {
        List<String> members = new ArrayList<>();
        members.add(settings.nodeName());
        settings.members().forEach(member -> members.add(member.nodeName()));
        return members;
    }

    private void close() {
        step = Step.CLOSING;
        writeRecord(record.closedBy(settings.nodeName(), restorer.keptRevision()), () -> {
            step = Step.CLOSED;
            LOG.warn(
                    "generation {} is closed by {}: {} keys put back, remembered by {}{}",
                    generation(),
                    settings.nodeName(),
                    restoredCount(),
                    collectedFrom(),
                    incompleteReason.isEmpty() || !lossAccepted ? "" : "; loss accepted: " + incompleteReason);
            onClosed.run();
        });
    }
}
