package io.sillreel.heartbeat;

import io.sillreel.agent.Report;

/** Sees workers' reports before they are decided. */
public interface ReportWatcher {
    /** Sees nothing. */
    ReportWatcher NONE = new ReportWatcher() {
        @Override
        public void received(Report report) {}

        @Override
        public boolean answerable(Report report, long term) {
            return true;
        }
    };

    /** A report has come from its worker itself. */
    void received(Report report);

    /** False if the leader of the term must not answer the report. */
    boolean answerable(Report report, long term);
}
