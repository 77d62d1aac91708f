package io.sillreel.recovery;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.heartbeat.AttemptIds;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.statestore.StateStore;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Detects lost writes by the terms that workers and peers have observed. A leader stores its term before it announces
 * it, so an observed term above the stored one proves a loss. So does a worker that already knows the term of this
 * leader without having got it from this leader: the term has been used twice.
 */
final class TermEvidence {
    private final StateStore store;
    private final RevisionTracker revisions;
    private final Consumer<String> onLoss;
    private final Set<String> answeredMachines = new HashSet<>();
    private long answeredTerm;
    private boolean isReading;

    /** @param onLoss receives the evidence when lost writes are detected */
    TermEvidence(StateStore store, RevisionTracker revisions, Consumer<String> onLoss) {
        this.store = store;
        this.revisions = revisions;
        this.onLoss = onLoss;
    }

    /** The highest term in the fencing token and the attempt ids of a heartbeat. */
    static long highestTermIn(Heartbeat heartbeat) {
        long highest = heartbeat.fencingToken();
        for (TaskStatus task : heartbeat.tasks()) {
            highest = Math.max(highest, AttemptIds.termOf(task.attempt()));
        }
        return highest;
    }

    /**
     * Reads the stored term after a higher one than any known to this controller has been observed. The leader of that
     * term stored it before it announced it, so a read that returns a lower term proves a loss.
     */
    void verifyTerm(long term, String source) {
        revisions.raiseTo(HighWatermarks.NONE.withTerm(term));
        if (isReading) {
            return;
        }
        isReading = true;
        store.get(LeaderElection.TERM_KEY).thenAccept(read -> {
            isReading = false;
            long stored = LeaderElection.storedTerm(read);
            if (read.isConclusive() && stored < term) {
                onLoss.accept(source + " has seen term " + term + ", and " + stored + " is stored");
            }
        });
    }

    /**
     * False if the heartbeat must not be answered, because its worker knows the term of this leader from another one,
     * which must have held it before a loss.
     */
    boolean mayAnswer(Heartbeat heartbeat, long term) {
        if (answeredTerm != term) {
            answeredTerm = term;
            answeredMachines.clear();
        }
        if (heartbeat.fencingToken() == term && !answeredMachines.contains(heartbeat.machine())) {
            revisions.raiseTo(HighWatermarks.NONE.withTerm(term));
            onLoss.accept(heartbeat.machine() + " has seen term " + term + " before it was told of it");
            return false;
        }
        answeredMachines.add(heartbeat.machine());
        return true;
    }
}
