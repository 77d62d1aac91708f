package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;

/** Sees workers' reports before they are decided. */
public interface HeartbeatObserver {
    /** Sees nothing. */
    HeartbeatObserver NONE = new HeartbeatObserver() {
        @Override
        public void received(Heartbeat heartbeat) {}

        @Override
        public boolean answerable(Heartbeat heartbeat, long term) {
            return true;
        }
    };

    /** A report has come from its worker itself. */
    void received(Heartbeat heartbeat);

    /** False if the leader of the term must not answer the report. */
    boolean answerable(Heartbeat heartbeat, long term);
}
