package io.sillreel.heartbeat;

import io.sillreel.settings.Settings.Member;
import java.util.Optional;

/** Locates the leader for the routing of heartbeats. Called on the event loop. */
public interface LeaderLocator {
    /** Returns the term that this controller leads, or null if it is not the leader; called for every heartbeat. */
    LeaderHeartbeats ownTerm();

    /** Returns the leader if it is another controller; empty if it is this one or none is known. */
    Optional<Member> remoteLeader();
}
