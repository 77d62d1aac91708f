package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;

/**
 * The order of a worker's messages, by session and sequence. What is not newer than what was seen says nothing; reports
 * that count anew hint at a machine that has started again.
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

    public long epoch() {
        return epoch;
    }

    public long sequence() {
        return sequence;
    }

    /** True if the message is newer than all that were seen, and its session is not known to be over. */
    boolean isNew(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(epoch, sequence) && heartbeat.epoch() > endedEpoch;
    }

    /** True if the worker's session before this message has ended. */
    boolean startsEpoch(Heartbeat heartbeat) {
        return epoch > 0 && heartbeat.epoch() > epoch;
    }

    /** The message is the newest one from now on. */
    void accept(Heartbeat heartbeat, boolean direct, long nowMicros) {
        epoch = heartbeat.epoch();
        sequence = heartbeat.sequence();
        commandResponseMicros = direct ? nowMicros : Long.MIN_VALUE;
        staleCount = 0;
    }

    /** The lease has run out whatever the worker heard last: what belongs to its session is dead. */
    public void endEpoch() {
        endedEpoch = epoch;
    }

    /**
     * True if this is the report that the answer to a direct command has just overtaken: the worker waits for its
     * answer.
     */
    public boolean isOvertakenByCommand(Heartbeat heartbeat, long withinMicros, long nowMicros) {
        return heartbeat.epoch() == epoch
                && heartbeat.sequence() == sequence - 1
                && epoch > endedEpoch
                && commandResponseMicros != Long.MIN_VALUE
                && nowMicros - commandResponseMicros < withinMicros;
    }

    /**
     * Counts reports that are older than what was seen; true once several have come whose numbers rise: copies of old
     * ones do that too, but so does a machine that is back and counts anew.
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
