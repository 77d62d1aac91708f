package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.HttpResponse;

/** Handles heartbeats for the term in which this controller is the leader. */
public interface LeaderHeartbeats {
    /** The number of the term, which is also its fencing token. */
    long term();

    /**
     * Processes a heartbeat. Only a response with status 200 may extend the lease of the machine; any other status
     * tells the worker to retry.
     */
    HttpResponse handleHeartbeat(Heartbeat heartbeat);
}
