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
    private static final long ASK_AGAIN_MICROS = 2_000_000;

    private final RebuildLease term;
    private final Settings settings;
    private final StoreHistory history;
    private final CollectedMemories memories;
    private final PeerMemoryCollector collector;
    private final ChangeRestorer restorer;
    private final Runnable onClosed;

    private RecoveryRecord record;
    private long recordStamp;
    private Step step = Step.OPENING;
    private int heardBefore;
    private String gap = "";
    private boolean lossAccepted;

    /**
     * @param survivors what this controller remembers
     * @param record the verdict to store
     * @param onClosed run once everything has been put back, or its loss has been accepted
     */
    StoreRebuild(
            RebuildLease term,
            Settings settings,
            StoreHistory history,
            CollectedMemories memories,
            PeerMemoryCollector collector,
            RecoveryRecord record,
            Runnable onClosed) {
        this.term = term;
        this.settings = settings;
        this.history = history;
        this.memories = memories;
        this.collector = collector;
        this.restorer = new ChangeRestorer(term, history, settings.state().maxTransactionChanges());
        this.record = record;
        this.onClosed = onClosed;
    }

    void start() {
        open();
    }

    /** Ends it: the term is over, or writes have been lost once more. */
    void end() {
        term.end();
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
    String gap() {
        return gap;
    }

    long generation() {
        return record.generation();
    }

    RecoveryRecord record() {
        return record;
    }

    int restored() {
        return restorer.restored();
    }

    /** The controllers whose memory has been taken into account. */
    Set<String> collectedFrom() {
        return memories.nodes();
    }

    private void open() {
        term.store().get(RecoveryRecord.KEY).thenAccept(read -> {
            if (term.isOver()) {
                return;
            }
            if (!read.isConclusive()) {
                term.later(this::open);
                return;
            }
            recordStamp = read.revision();
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
    private void writeRecord(RecoveryRecord next, Runnable written) {
        Transaction transaction =
                term.txn().requireRevision(RecoveryRecord.KEY, recordStamp).set(RecoveryRecord.KEY, next.json());
        term.store().commit(transaction).thenAccept(commit -> {
            if (term.isOverAfter(commit)) {
                return;
            }
            if (commit.outcome() == StoreOutcome.OK) {
                recordStamp = commit.storeRevision();
                record = next;
                written.run();
            } else if (commit.outcome() == StoreOutcome.REFUSED) {
                term.later(() -> writeRecord(next, written));
            } else {
                rereadRecord(next, written);
            }
        });
    }

    private void rereadRecord(RecoveryRecord next, Runnable written) {
        term.store().get(RecoveryRecord.KEY).thenAccept(read -> {
            if (term.isOver()) {
                return;
            }
            if (read.isConclusive()) {
                recordStamp = read.revision();
                term.later(() -> writeRecord(next, written));
            } else {
                term.later(() -> rereadRecord(next, written));
            }
        });
    }

    private void collect() {
        step = Step.COLLECTING;
        collector.collect(settings.members(), generation()).thenRun(() -> {
            if (term.isOver()) {
                return;
            }
            if (term.term() < history.highWatermarks().term()) {
                // A worker or a controller has seen a later one: its attempts must not be mistaken for ours.
                term.resign("term " + history.highWatermarks().term() + " was reached before the loss");
                return;
            }
            int heard = memories.nodes().size();
            if (heard > heardBefore) {
                heardBefore = heard;
                raise();
            } else {
                judge();
            }
        });
    }

    /**
     * Until the revision lies above all that were reached, a new change could get the stamp of one that was lost: late
     * transactions would take it for theirs, and controllers would take what they remember for newer.
     */
    private void raise() {
        step = Step.RAISING;
        if (recordStamp > history.highWatermarks().keyRevision()) {
            step = Step.RESTORING;
            restorer.restore(memories.newestFirst(), memories::isWitnessed, this::judge);
        } else {
            writeRecord(record, this::raise);
        }
    }

    private void judge() {
        Optional<String> reason = memories.findGap(
                        members(), restorer.kept(), history.highWatermarks(), 2 * settings.clockSkewMicros())
                .or(() -> restorer.tooLarge().map(key -> key + " is larger than the state service takes now"));
        if (reason.isEmpty() || lossAccepted) {
            close();
            return;
        }
        if (!reason.get().equals(gap)) {
            LOG.error("generation {} stays open: {}", generation(), reason.get());
        }
        gap = reason.get();
        step = Step.INCOMPLETE;
        term.after(ASK_AGAIN_MICROS, () -> {
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
        writeRecord(record.closed(settings.nodeName(), restorer.kept()), () -> {
            step = Step.CLOSED;
            LOG.warn(
                    "generation {} is closed by {}: {} keys put back, remembered by {}{}",
                    generation(),
                    settings.nodeName(),
                    restored(),
                    collectedFrom(),
                    gap.isEmpty() || !lossAccepted ? "" : "; loss accepted: " + gap);
            onClosed.run();
        });
    }
}
