package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;

/**
 * The order of a worker's messages, by session and sequence. What is not newer than what was seen says nothing; reports
 * that count anew hint at a machine that has started again.
 */
public final class HeartbeatOrder {
    private static final int STALE_BEFORE_ASKING = 3;

    private long session;
    private long sequence;
    private long endedSession;
    private long directMicros = Long.MIN_VALUE;
    private long staleSession;
    private long staleSequence;
    private int staleCount;

    public long session() {
        return session;
    }

    public long sequence() {
        return sequence;
    }

    /** True if the message is newer than all that were seen, and its session is not known to be over. */
    boolean isNew(Heartbeat report) {
        return report.newerThan(session, sequence) && report.session() > endedSession;
    }

    /** True if the worker's session before this message has ended. */
    boolean startsSession(Heartbeat report) {
        return session > 0 && report.session() > session;
    }

    /** The message is the newest one from now on. */
    void advance(Heartbeat report, boolean direct, long nowMicros) {
        session = report.session();
        sequence = report.sequence();
        directMicros = direct ? nowMicros : Long.MIN_VALUE;
        staleCount = 0;
    }

    /** The lease has run out whatever the worker heard last: what belongs to its session is dead. */
    public void endSession() {
        endedSession = session;
    }

    /**
     * True if this is the report that the answer to a direct command has just overtaken: the worker waits for its
     * answer.
     */
    public boolean overtaken(Heartbeat report, long withinMicros, long nowMicros) {
        return report.session() == session
                && report.sequence() == sequence - 1
                && session > endedSession
                && directMicros != Long.MIN_VALUE
                && nowMicros - directMicros < withinMicros;
    }

    /**
     * Counts reports that are older than what was seen; true once several have come whose numbers rise: copies of old
     * ones do that too, but so does a machine that is back and counts anew.
     */
    public boolean countsAnew(Heartbeat report) {
        if (staleCount == 0 || report.newerThan(staleSession, staleSequence)) {
            staleSession = report.session();
            staleSequence = report.sequence();
            staleCount++;
        }
        if (staleCount < STALE_BEFORE_ASKING) {
            return false;
        }
        staleCount = 0;
        return true;
    }
}
