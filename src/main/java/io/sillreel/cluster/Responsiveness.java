package io.sillreel.cluster;

/** Whether a machine hears what it is told: its reports may arrive while the answers to them do not. */
public final class Responsiveness {
    /** So many answers in a row without effect are no accident. */
    private static final int UNRESPONSIVE_THRESHOLD = 3;
    /** A machine that is silent for so long may have lost answers with its reports. */
    private static final long HEARTBEAT_GAP_MICROS = 7_000_000;

    private static final long RETRY_AFTER_MICROS = 20_000_000;
    /**
     * A worker lets half a second pass between two reports; less apart are copies, or what was held back on the way.
     */
    private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 300_000;

    private int answeredHeartbeatCount;
    private int ignoredCommandCount;
    private long lastIgnoredMicros;

    /**
     * A new report has come.
     *
     * @param newSession its worker's session has ended since the report before
     * @param up the machine is in use
     */
    void recordHeartbeat(boolean newSession, boolean up, long lastReportMicros, long nowMicros) {
        // First: the lease of a machine that was cut off has run out because it was not answered, and when a zone comes
        // back hundreds of them are not deaf.
        answeredHeartbeatCount = nowMicros - lastReportMicros < HEARTBEAT_GAP_MICROS ? answeredHeartbeatCount : 0;
        if (newSession && answeredHeartbeatCount > 1) {
            // Its lease ran out though it was answered all along.
            ignoredCommandCount = UNRESPONSIVE_THRESHOLD;
            lastIgnoredMicros = nowMicros;
        }
        if (ignoredCommandCount > 1 && up && nowMicros - lastIgnoredMicros > RETRY_AFTER_MICROS) {
            // Many seemed to receive nothing at once, so it was not given up; now it is tried again, with one task.
            ignoredCommandCount = 1;
        }
    }

    void recordHeartbeatAnswered() {
        answeredHeartbeatCount++;
    }

    /** A report has shown that an earlier answer was obeyed. */
    public void recordCommandObeyed() {
        ignoredCommandCount = 0;
    }

    /** A report has shown that the answer to the one before was not obeyed, or not even heard. */
    public void recordCommandIgnored(long nowMicros) {
        ignoredCommandCount++;
        lastIgnoredMicros = nowMicros;
    }

    /**
     * A report lacks the current token. Copies of reports of an earlier term come in crowds as the next one begins, and
     * say nothing of what the machine hears.
     */
    public void recordStaleToken(long nowMicros) {
        if (ignoredCommandCount == 0 || nowMicros - lastIgnoredMicros > MIN_HEARTBEAT_INTERVAL_MICROS) {
            recordCommandIgnored(nowMicros);
        }
    }

    public int ignoredCommandCount() {
        return ignoredCommandCount;
    }

    /** True once several answers in a row have shown no effect: its reports arrive, but it hears nothing. */
    public boolean isUnresponsive() {
        return ignoredCommandCount >= UNRESPONSIVE_THRESHOLD;
    }
}
