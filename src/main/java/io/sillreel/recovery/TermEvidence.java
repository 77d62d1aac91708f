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
 * What workers' tokens say of the state service. A leader stores its term before it shows it to anybody, so a term that
 * was shown and is not stored has been lost; so has one that this controller has taken and a worker knows of that was
 * never told.
 */
final class TermEvidence {
    private final StateStore store;
    private final RevisionTracker revisions;
    private final Consumer<String> onLoss;
    private final Set<String> answeredMachines = new HashSet<>();
    private long answeredTerm;
    private boolean isReading;

    /** @param onLoss told what shows that writes have been lost */
    TermEvidence(StateStore store, RevisionTracker revisions, Consumer<String> onLoss) {
        this.store = store;
        this.revisions = revisions;
        this.onLoss = onLoss;
    }

    /** The highest term that a report shows. */
    static long highestTermIn(Heartbeat heartbeat) {
        long highest = heartbeat.fencingToken();
        for (TaskStatus task : heartbeat.tasks()) {
            highest = Math.max(highest, AttemptIds.termOf(task.attempt()));
        }
        return highest;
    }

    /** Somebody has shown a term that is higher than any known here: read after that, the store has it too. */
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
     * A report that this controller is to answer under its own term; false if its worker knows the term from somebody
     * else, who must have taken it before a loss.
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
