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
    private final StoreHistory history;
    private final Consumer<String> onLoss;
    private final Set<String> told = new HashSet<>();
    private long toldTerm;
    private boolean reading;

    /** @param onLoss told what shows that writes have been lost */
    TermEvidence(StateStore store, StoreHistory history, Consumer<String> onLoss) {
        this.store = store;
        this.history = history;
        this.onLoss = onLoss;
    }

    /** The highest term that a report shows. */
    static long termShownBy(Heartbeat heartbeat) {
        long shown = heartbeat.fencingToken();
        for (TaskStatus task : heartbeat.tasks()) {
            shown = Math.max(shown, AttemptIds.termOf(task.attempt()));
        }
        return shown;
    }

    /** Somebody has shown a term that is higher than any known here: read after that, the store has it too. */
    void verifyTerm(long term, String by) {
        history.learn(HighWatermarks.NONE.withTerm(term));
        if (reading) {
            return;
        }
        reading = true;
        store.get(LeaderElection.TERM_KEY).thenAccept(read -> {
            reading = false;
            long stored = LeaderElection.storedTerm(read);
            if (read.isConclusive() && stored < term) {
                onLoss.accept(by + " has seen term " + term + ", and " + stored + " is stored");
            }
        });
    }

    /**
     * A report that this controller is to answer under its own term; false if its worker knows the term from somebody
     * else, who must have taken it before a loss.
     */
    boolean mayAnswer(Heartbeat heartbeat, long term) {
        if (toldTerm != term) {
            toldTerm = term;
            told.clear();
        }
        if (heartbeat.fencingToken() == term && !told.contains(heartbeat.machine())) {
            history.learn(HighWatermarks.NONE.withTerm(term));
            onLoss.accept(heartbeat.machine() + " has seen term " + term + " before it was told of it");
            return false;
        }
        told.add(heartbeat.machine());
        return true;
    }
}
