package io.sillreel.heartbeat;

import io.sillreel.settings.Settings.Member;
import java.util.Optional;

/** Tells the routing of heartbeats which controller leads. Called on the event loop. */
public interface LeaderLocator {
    /** The term that this controller leads, or null if it leads none; asked for with every heartbeat. */
    LeaderHeartbeats ownTerm();

    /** The other controller that is known to lead, or empty if it is this one or none is known. */
    Optional<Member> remoteLeader();
}
