package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;

/** Observes the heartbeats of workers before they are processed. Called on the event loop. */
public interface HeartbeatObserver {
    /** An observer that ignores all heartbeats and permits every answer. */
    HeartbeatObserver NONE = new HeartbeatObserver() {
        @Override
        public void observeHeartbeat(Heartbeat heartbeat) {}

        @Override
        public boolean mayAnswer(Heartbeat heartbeat, long term) {
            return true;
        }
    };

    /** Called for each heartbeat that a worker has sent to this controller directly. */
    void observeHeartbeat(Heartbeat heartbeat);

    /** False if the leader of the term must not answer the heartbeat. */
    boolean mayAnswer(Heartbeat heartbeat, long term);
}
