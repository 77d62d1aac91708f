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
 * Restores the writes that the state service has lost, within one leadership term: stores the open recovery record,
 * collects the controllers' change logs, raises the store revision above every one that was ever reached, so that no
 * key revision is used twice, and writes the missing changes. Any later leader can restart the procedure at any point.
 * Runs on the event loop.
 */
final class StoreRebuild {
    /** The current step, which operators see. */
    enum Step {
        OPENING,
        COLLECTING,
        RAISING,
        RESTORING,
        /** All collected changes have been restored, but further writes may have been lost. */
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
     * @param snapshots contains this controller's own change log
     * @param record the recovery record to store
     * @param onClosed run once all writes have been restored, or the loss of the others has been accepted
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

    /** Aborts the rebuild, since the term has ended or further writes have been lost. */
    void abort() {
        lease.end();
    }

    /** Closes the record even though some writes could not be restored. */
    void acceptLoss() {
        lossAccepted = true;
        if (step == Step.INCOMPLETE) {
            close();
        }
    }

    Step step() {
        return step;
    }

    /** The reason why more may have been lost than could be restored; empty if none is known. */
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

    /** The controllers whose change logs have been collected. */
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
                LOG.warn("recovery generation {} is open ({}); restoring lost writes", generation(), record.evidence());
                collect();
            });
        });
    }

    /** Writes the recovery record, which also raises the store revision by one. */
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
                // A later term existed before the loss: its task attempts must not be mistaken for those of this term.
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
     * Raises the store revision above all that were reached before. Otherwise a new change could get the revision of a
     * lost one: the conditions of delayed transactions would hold by mistake, and controllers would take changes in
     * their logs for newer ones.
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
            LOG.error("recovery generation {} cannot be closed: {}", generation(), reason.get());
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
                    "recovery generation {} closed by {}: {} keys restored from the change logs of {}{}",
                    generation(),
                    settings.nodeName(),
                    restoredCount(),
                    collectedFrom(),
                    incompleteReason.isEmpty() || !lossAccepted ? "" : "; loss accepted: " + incompleteReason);
            onClosed.run();
        });
    }
}
