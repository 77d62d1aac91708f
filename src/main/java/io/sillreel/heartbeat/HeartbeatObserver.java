package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;

/** Sees workers' reports before they are decided. */
public interface HeartbeatObserver {
    /** Sees nothing. */
    HeartbeatObserver NONE = new HeartbeatObserver() {
        @Override
        public void observeHeartbeat(Heartbeat heartbeat) {}

        @Override
        public boolean mayAnswer(Heartbeat heartbeat, long term) {
            return true;
        }
    };

    /** A report has come from its worker itself. */
    void observeHeartbeat(Heartbeat heartbeat);

    /** False if the leader of the term must not answer the report. */
    boolean mayAnswer(Heartbeat heartbeat, long term);
}
