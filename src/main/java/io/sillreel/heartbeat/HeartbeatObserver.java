package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;

/** Observes the heartbeats of workers before they are processed. Called on the event loop. */
public interface HeartbeatObserver {
    /** Observes nothing and lets every heartbeat be answered. */
    HeartbeatObserver NONE = new HeartbeatObserver() {
        @Override
        public void observeHeartbeat(Heartbeat heartbeat) {}

        @Override
        public boolean mayAnswer(Heartbeat heartbeat, long term) {
            return true;
        }
    };

    /** Takes note of a heartbeat that a worker has sent to this controller. */
    void observeHeartbeat(Heartbeat heartbeat);

    /** False if the leader of the term must not answer the heartbeat. */
    boolean mayAnswer(Heartbeat heartbeat, long term);
}
