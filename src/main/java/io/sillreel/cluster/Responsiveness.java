package io.sillreel.cluster;

/** Whether a machine hears what it is told: its reports may arrive while the answers to them do not. */
public final class Responsiveness {
    /** So many answers in a row without effect are no accident. */
    private static final int UNRESPONSIVE_THRESHOLD = 3;
    /** A machine that is silent for so long may have lost answers with its reports. */
    private static final long GAP_MICROS = 7_000_000;

    private static final long RETRY_AFTER_MICROS = 20_000_000;
    /**
     * A worker lets half a second pass between two reports; less apart are copies, or what was held back on the way.
     */
    private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 300_000;

    private int heartbeatAnswered;
    private int commandIgnored;
    private long lastIgnoredMicros;

    /**
     * A new report has come.
     *
     * @param newSession its worker's session has ended since the report before
     * @param up the machine is in use
     */
    void heartbeatReceived(boolean newSession, boolean up, long lastReportMicros, long nowMicros) {
        // First: the lease of a machine that was cut off has run out because it was not answered, and when a zone comes
        // back hundreds of them are not deaf.
        heartbeatAnswered = nowMicros - lastReportMicros < GAP_MICROS ? heartbeatAnswered : 0;
        if (newSession && heartbeatAnswered > 1) {
            // Its lease ran out though it was answered all along.
            commandIgnored = UNRESPONSIVE_THRESHOLD;
            lastIgnoredMicros = nowMicros;
        }
        if (commandIgnored > 1 && up && nowMicros - lastIgnoredMicros > RETRY_AFTER_MICROS) {
            // Many seemed to receive nothing at once, so it was not given up; now it is tried again, with one task.
            commandIgnored = 1;
        }
    }

    void heartbeatAnswered() {
        heartbeatAnswered++;
    }

    /** A report has shown that an earlier answer was obeyed. */
    public void commandObeyed() {
        commandIgnored = 0;
    }

    /** A report has shown that the answer to the one before was not obeyed, or not even heard. */
    public void commandIgnored(long nowMicros) {
        commandIgnored++;
        lastIgnoredMicros = nowMicros;
    }

    /**
     * A report lacks the current token. Copies of reports of an earlier term come in crowds as the next one begins, and
     * say nothing of what the machine hears.
     */
    public void staleTokenShown(long nowMicros) {
        if (commandIgnored == 0 || nowMicros - lastIgnoredMicros > MIN_HEARTBEAT_INTERVAL_MICROS) {
            commandIgnored(nowMicros);
        }
    }

    public int ignoredCommandCount() {
        return commandIgnored;
    }

    /** True once several answers in a row have shown no effect: its reports arrive, but it hears nothing. */
    public boolean isUnresponsive() {
        return commandIgnored >= UNRESPONSIVE_THRESHOLD;
    }
}
