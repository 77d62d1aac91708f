package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;

/**
 * Orders a machine's heartbeats by agent epoch and sequence. A heartbeat that is not newer than the last accepted one
 * is stale and is ignored; stale heartbeats with rising sequences suggest that the machine has restarted. Guarded by
 * the lock of the {@link Cluster}.
 */
public final class HeartbeatOrder {
    private static final int STALE_HEARTBEATS_BEFORE_QUERY = 3;

    private long epoch;
    private long sequence;
    private long endedEpoch;
    private long commandResponseMicros = Long.MIN_VALUE;
    private long staleEpoch;
    private long staleSequence;
    private int staleCount;

    /** Returns the agent epoch of the newest heartbeat, 0 before the first. */
    public long epoch() {
        return epoch;
    }

    /** Returns the sequence of the newest heartbeat, 0 before the first. */
    public long sequence() {
        return sequence;
    }

    /** True if the heartbeat is newer than the last accepted one and its agent epoch has not ended. */
    boolean isNew(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(epoch, sequence) && heartbeat.epoch() > endedEpoch;
    }

    /** True if the heartbeat starts a new agent epoch, so that no task of the previous epoch is live. */
    boolean startsEpoch(Heartbeat heartbeat) {
        return epoch > 0 && heartbeat.epoch() > epoch;
    }

    /**
     * Accepts the heartbeat as the newest.
     *
     * @param direct true if it came in the response to a command that was sent to the machine
     */
    void accept(Heartbeat heartbeat, boolean direct, long nowMicros) {
        epoch = heartbeat.epoch();
        sequence = heartbeat.sequence();
        commandResponseMicros = direct ? nowMicros : Long.MIN_VALUE;
        staleCount = 0;
    }

    /** Ends the agent epoch when the machine's lease has expired, whichever response it received last. */
    public void endEpoch() {
        endedEpoch = epoch;
    }

    /**
     * True if the response to a direct command has overtaken this heartbeat. The agent still waits for the response to
     * the heartbeat, although its sequence is one behind.
     *
     * @param withinMicros how long ago the response to the command may have arrived, in microseconds
     */
    public boolean isOvertakenByCommand(Heartbeat heartbeat, long withinMicros, long nowMicros) {
        return heartbeat.epoch() == epoch
                && heartbeat.sequence() == sequence - 1
                && epoch > endedEpoch
                && commandResponseMicros != Long.MIN_VALUE
                && nowMicros - commandResponseMicros < withinMicros;
    }

    /**
     * Counts a stale heartbeat. Returns true, and resets the count, once several have arrived with rising sequences.
     * Delayed duplicates may have rising sequences as well, so the machine has to be queried before it is considered
     * restarted.
     */
    public boolean suggestsRestart(Heartbeat heartbeat) {
        if (staleCount == 0 || heartbeat.isNewerThan(staleEpoch, staleSequence)) {
            staleEpoch = heartbeat.epoch();
            staleSequence = heartbeat.sequence();
            staleCount++;
        }
        if (staleCount < STALE_HEARTBEATS_BEFORE_QUERY) {
            return false;
        }
        staleCount = 0;
        return true;
    }
}
