package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.HttpResponse;

/** The term that this controller leads, as far as the routing of heartbeats needs it. */
public interface LeaderHeartbeats {
    /** The number of the term, which is also its fencing token. */
    long term();

    /**
     * Decides about a heartbeat. Only a response with status 200 may extend the lease of the machine; all others tell
     * the worker to try again.
     */
    HttpResponse handleHeartbeat(Heartbeat heartbeat);
}
