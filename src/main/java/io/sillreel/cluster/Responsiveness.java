package io.sillreel.cluster;

/**
 * Tracks whether responses reach a machine: its heartbeats may arrive while the responses to them are lost. A machine
 * is unresponsive once several commands in a row have shown no effect. Guarded by the lock of the {@link Cluster}.
 */
public final class Responsiveness {
    /** Ignored commands in a row from which a machine is unresponsive. */
    private static final int UNRESPONSIVE_THRESHOLD = 3;
    /** After a gap between heartbeats of this length, responses may have been lost as well and prove nothing. */
    private static final long HEARTBEAT_GAP_MICROS = 7_000_000;

    /** After this time without another ignored command, an unresponsive machine is tried with one task. */
    private static final long RETRY_AFTER_MICROS = 20_000_000;
    /** Agents send heartbeats at least 0.5 s apart; heartbeats closer than this are copies, or were delayed. */
    private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 300_000;

    private int answeredHeartbeatCount;
    private int ignoredCommandCount;
    private long lastIgnoredMicros;

    /**
     * Records a new heartbeat.
     *
     * @param startsEpoch true if the agent has started a new epoch since the heartbeat before
     * @param isUp true if the machine is up and not draining
     */
    void recordHeartbeat(boolean startsEpoch, boolean isUp, long lastHeartbeatMicros, long nowMicros) {
        // This has to come first: the lease of a machine in a partitioned zone expires because it gets no responses,
        // and the machines of a zone that comes back are not unresponsive.
        answeredHeartbeatCount = nowMicros - lastHeartbeatMicros < HEARTBEAT_GAP_MICROS ? answeredHeartbeatCount : 0;
        if (startsEpoch && answeredHeartbeatCount > 1) {
            // Its lease expired although all its heartbeats were answered.
            ignoredCommandCount = UNRESPONSIVE_THRESHOLD;
            lastIgnoredMicros = nowMicros;
        }
        if (ignoredCommandCount > 1 && isUp && nowMicros - lastIgnoredMicros > RETRY_AFTER_MICROS) {
            // Too many machines seemed unresponsive at once for it to be returned, so it is tried again with one task.
            ignoredCommandCount = 1;
        }
    }

    void recordHeartbeatAnswered() {
        answeredHeartbeatCount++;
    }

    /** A heartbeat has shown the effect of an earlier command. */
    public void recordCommandConfirmed() {
        ignoredCommandCount = 0;
    }

    /** A heartbeat has shown that the command in the response before had no effect, or was not received. */
    public void recordCommandIgnored(long nowMicros) {
        ignoredCommandCount++;
        lastIgnoredMicros = nowMicros;
    }

    /**
     * A heartbeat does not carry the current fencing token. At the start of a term many delayed copies of earlier
     * heartbeats arrive at once; they do not show that responses are lost, so they count at most once per interval.
     */
    public void recordStaleToken(long nowMicros) {
        if (ignoredCommandCount == 0 || nowMicros - lastIgnoredMicros > MIN_HEARTBEAT_INTERVAL_MICROS) {
            recordCommandIgnored(nowMicros);
        }
    }

    /** Returns how many commands in a row have had no effect. */
    public int ignoredCommandCount() {
        return ignoredCommandCount;
    }

    /** True once several commands in a row have had no effect: heartbeats arrive, but responses are lost. */
    public boolean isUnresponsive() {
        return ignoredCommandCount >= UNRESPONSIVE_THRESHOLD;
    }
}
