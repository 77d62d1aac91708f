package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.peer.Peers;
import io.sillreel.settings.Settings;
import java.util.HashSet;
import java.util.Set;

/**
 * Detects that this leader is cut off from agents or from the state service and has to resign, so that another
 * controller can lead. Runs on the event loop; times are microseconds of the steady clock.
 */
final class LeaderReachability {
    /** The maximum time without heartbeats while other controllers receive some that they can't relay. */
    private static final long MAX_HEARTBEAT_SILENCE_MICROS = 6_000_000;
    /** The maximum time without heartbeats while no other controller is reachable either. */
    private static final long MAX_ISOLATION_MICROS = 12_000_000;
    /** The maximum age of the known cancellations under a valid lease; launches are blocked earlier. */
    private static final long MAX_CANCELLATIONS_UNKNOWN_MICROS = 15_000_000;

    private static final long CANDIDACY_PAUSE_MICROS = 10_000_000;
    /** An agent finds another controller within two request timeouts and one heartbeat interval. */
    private static final long REROUTING_MICROS = 15_000_000;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final LeaderElection election;
    private final Peers peers;
    private final Cluster cluster;
    /** Machines whose agents have been redirected to another controller since the lease was last valid. */
    private final Set<String> redirectedMachines = new HashSet<>();

    private boolean stateLoaded;
    private long loadedMicros;
    private long lastHeartbeatMicros;
    private long lastDisruptionMicros;

    LeaderReachability(EventLoop eventLoop, Settings settings, LeaderElection election, Peers peers, Cluster cluster) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.election = election;
        this.peers = peers;
        this.cluster = cluster;
    }

    /** The stored state has been loaded: from now on heartbeats are answered. */
    void stateLoaded() {
        stateLoaded = true;
        loadedMicros = eventLoop.nowMicros();
    }

    /** A heartbeat has reached this leader, directly or relayed by another controller. */
    void heartbeatReceived() {
        lastHeartbeatMicros = eventLoop.nowMicros();
    }

    /**
     * Decides whether to redirect an agent to another controller while the lease of this one may have expired.
     *
     * <ul>
     *   <li>If another controller reaches the state service, it leads or soon will, and the agent has to find it before
     *       the lease of its machine expires.
     *   <li>If no other controller is reachable, this one is more likely partitioned than all others are down: each
     *       agent is redirected once, and served if it returns.
     *   <li>If others are reachable but none reaches the service, the outage affects all of them, and tasks survive it
     *       only if this leader keeps answering.
     * </ul>
     */
    boolean shouldRedirect(String machine) {
        if (peers.isStoreReachableElsewhere()) {
            return true;
        }
        return settings.controllerCount() > 1 && peers.hasNoRecentPeer() && redirectedMachines.add(machine);
    }

    /**
     * Resigns if another controller is more likely to be able to lead. Called about once a second.
     *
     * @param cancellationsKnownUntilMicros the time up to which all confirmed cancellations are known here
     * @param writesStuck true if the write queue makes no progress
     */
    void resignIfUnreachable(long cancellationsKnownUntilMicros, boolean writesStuck) {
        long now = eventLoop.nowMicros();
        if (election.isLeaseValid()) {
            redirectedMachines.clear();
            if (stateLoaded && now - cancellationsKnownUntilMicros > MAX_CANCELLATIONS_UNKNOWN_MICROS) {
                resignAsStalled("the watch of cancellations makes no progress");
                return;
            }
            if (writesStuck) {
                resignAsStalled("the write queue makes no progress");
                return;
            }
        }
        boolean heartbeatsUnansweredElsewhere =
                peers.recentHellos().stream().anyMatch(peer -> peer.unansweredHeartbeats() > 0);
        if (heartbeatsUnansweredElsewhere
                || peers.recentHellos().size() < settings.controllerCount() - 1
                || !election.isLeaseValid()) {
            lastDisruptionMicros = now;
        }
        if (mayOthersReachAgents(heartbeatsUnansweredElsewhere)
                && now - Math.max(lastHeartbeatMicros, loadedMicros) > maxSilenceMicros(heartbeatsUnansweredElsewhere)
                && expectsHeartbeats()) {
            // Tasks end when the leases of their machines expire, so a controller that receives heartbeats has to lead.
            election.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
            election.resign("no heartbeats reach this controller");
        }
    }

    /** Resigns although the lease is valid, since a new term recovers by reading the stored state again. */
    private void resignAsStalled(String reason) {
        if (settings.controllerCount() > 1) {
            election.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
        }
        election.resign(reason);
    }

    /** False if there is no other controller, or if others are reachable and none has unanswered heartbeats. */
    private boolean mayOthersReachAgents(boolean heartbeatsUnansweredElsewhere) {
        return settings.controllerCount() > 1 && (heartbeatsUnansweredElsewhere || peers.hasNoRecentPeer());
    }

    private static long maxSilenceMicros(boolean heartbeatsUnansweredElsewhere) {
        return heartbeatsUnansweredElsewhere ? MAX_HEARTBEAT_SILENCE_MICROS : MAX_ISOLATION_MICROS;
    }

    /** True if there are machines that have sent heartbeats in this term, or may run tasks of an earlier one. */
    private boolean expectsHeartbeats() {
        synchronized (cluster) {
            return stateLoaded
                    && cluster.machines().stream()
                            .anyMatch(machine -> machine.isReconciled() || machine.mayHoldInheritedTasks());
        }
    }

    /** True if no agent has had a reason to change its controller recently, so a silent agent is not rerouting. */
    boolean isRoutingStable() {
        return eventLoop.nowMicros() - Math.max(lastDisruptionMicros, loadedMicros) > REROUTING_MICROS;
    }
}
