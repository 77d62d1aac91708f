package io.sillreel.cluster;

/**
 * Tracks whether responses reach a machine: its heartbeats may arrive while the responses to them are lost. A machine
 * is unresponsive once several commands in a row have shown no effect. Guarded by the lock of the {@link Cluster}.
 */
public final class Responsiveness {
    /** Number of consecutive ignored commands from which a machine is unresponsive. */
    private static final int UNRESPONSIVE_THRESHOLD = 3;
    /** After a gap of this length between heartbeats, responses may have been lost too, so they are no evidence. */
    private static final long HEARTBEAT_GAP_MICROS = 7_000_000;

    /** After this time without another ignored command, an unresponsive machine is probed with one task. */
    private static final long RETRY_AFTER_MICROS = 20_000_000;
    /** Agents send heartbeats at least 0.5 s apart; heartbeats closer than this are duplicates or were delayed. */
    private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 300_000;

    private int answeredHeartbeatCount;
    private int ignoredCommandCount;
    private long lastIgnoredMicros;

    /**
     * Records a new heartbeat.
     *
     * @param startsEpoch true if the agent has started a new epoch since the previous heartbeat
     * @param isUp true if the machine is up and not draining
     */
    void recordHeartbeat(boolean startsEpoch, boolean isUp, long lastHeartbeatMicros, long nowMicros) {
        // This has to come first: the lease of a machine in a partitioned zone expires because it gets no responses,
        // and machines must not count as unresponsive when their zone is connected again.
        answeredHeartbeatCount = nowMicros - lastHeartbeatMicros < HEARTBEAT_GAP_MICROS ? answeredHeartbeatCount : 0;
        if (startsEpoch && answeredHeartbeatCount > 1) {
            // The lease of the machine expired although all its heartbeats were answered.
            ignoredCommandCount = UNRESPONSIVE_THRESHOLD;
            lastIgnoredMicros = nowMicros;
        }
        if (ignoredCommandCount > 1 && isUp && nowMicros - lastIgnoredMicros > RETRY_AFTER_MICROS) {
            // The machine was not returned, since too many were unresponsive at once, so it is probed with one task.
            ignoredCommandCount = 1;
        }
    }

    void recordHeartbeatAnswered() {
        answeredHeartbeatCount++;
    }

    /** Records that a heartbeat has shown the effect of an earlier command. */
    public void recordCommandConfirmed() {
        ignoredCommandCount = 0;
    }

    /** Records that a heartbeat has shown that a command in an earlier response had no effect or was not received. */
    public void recordCommandIgnored(long nowMicros) {
        ignoredCommandCount++;
        lastIgnoredMicros = nowMicros;
    }

    /**
     * Records that a heartbeat does not carry the current fencing token. At the start of a term, many delayed
     * duplicates of earlier heartbeats may arrive at once. They do not show that responses are lost, so they count at
     * most once per interval.
     */
    public void recordStaleToken(long nowMicros) {
        if (ignoredCommandCount == 0 || nowMicros - lastIgnoredMicros > MIN_HEARTBEAT_INTERVAL_MICROS) {
            recordCommandIgnored(nowMicros);
        }
    }

    /** Returns the number of consecutive commands without effect. */
    public int ignoredCommandCount() {
        return ignoredCommandCount;
    }

    /** True once several consecutive commands have had no effect: heartbeats arrive, but responses are lost. */
    public boolean isUnresponsive() {
        return ignoredCommandCount >= UNRESPONSIVE_THRESHOLD;
    }
}
