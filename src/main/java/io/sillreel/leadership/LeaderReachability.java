package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.peer.Peers;
import io.sillreel.settings.Settings;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether this leader still reaches agents and the state store, or has to resign so that another controller can
 * lead. Runs on the event loop; times are microseconds of the steady clock.
 */
final class LeaderReachability {
    /** The longest time without heartbeats while other controllers receive some that they can't relay. */
    private static final long MAX_HEARTBEAT_SILENCE_MICROS = 6_000_000;
    /** The longest time without heartbeats while no other controller is heard either. */
    private static final long MAX_ISOLATION_MICROS = 12_000_000;
    /** The longest time in which cancellations are unknown, so that nothing may be launched, under a valid lease. */
    private static final long MAX_CANCELLATIONS_UNKNOWN_MICROS = 15_000_000;

    private static final long CANDIDACY_PAUSE_MICROS = 10_000_000;
    /** An agent finds another controller within two time-outs and a heartbeat interval. */
    private static final long REROUTING_MICROS = 15_000_000;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final LeaderElection election;
    private final Peers peers;
    private final Cluster cluster;
    /** Machines whose agents were sent to look for another controller since the lease was valid last. */
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

    /** The stored state has been taken over: from now on heartbeats are answered. */
    void stateLoaded() {
        stateLoaded = true;
        loadedMicros = eventLoop.nowMicros();
    }

    /** A heartbeat has reached this leader, from its agent or through another controller. */
    void heartbeatReceived() {
        lastHeartbeatMicros = eventLoop.nowMicros();
    }

    /**
     * Decides whether an agent is sent to another controller while the lease of this one is not certain. If the state
     * store answers another controller, that one leads or soon will, and the agent should find it while its tasks live.
     * If no other controller is heard, this one is more likely cut off than all others are down: each agent is sent to
     * look once, and kept if it comes back. If others are heard and the store answers nobody, the outage is common to
     * all, and the tasks survive it only if this leader goes on answering.
     */
    boolean shouldRedirect(String machine) {
        if (peers.isStoreReachableElsewhere()) {
            return true;
        }
        return settings.controllerCount() > 1 && peers.hasNoRecentPeer() && redirectedMachines.add(machine);
    }

    /**
     * Resigns if another controller is likely to lead better. Called about once a second.
     *
     * @param cancellationsKnownUntilMicros all cancellations that were confirmed before are known here
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
            // Tasks end when nobody answers their machines, so a controller that is reached has to lead.
            election.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
            election.resign("no heartbeats reach this controller");
        }
    }

    /** The lease is valid but of no use: a new term, which reads the stored state again, is better off. */
    private void resignAsStalled(String reason) {
        if (settings.controllerCount() > 1) {
            election.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
        }
        election.resign(reason);
    }

    /** False if no other controller could lead, or if all of them are heard and receive no heartbeats either. */
    private boolean mayOthersReachAgents(boolean heartbeatsUnansweredElsewhere) {
        return settings.controllerCount() > 1 && (heartbeatsUnansweredElsewhere || peers.hasNoRecentPeer());
    }

    private static long maxSilenceMicros(boolean heartbeatsUnansweredElsewhere) {
        return heartbeatsUnansweredElsewhere ? MAX_HEARTBEAT_SILENCE_MICROS : MAX_ISOLATION_MICROS;
    }

    /** True if there are machines that have sent heartbeats, or may run tasks of an earlier term. */
    private boolean expectsHeartbeats() {
        synchronized (cluster) {
            return stateLoaded
                    && cluster.machines().stream()
                            .anyMatch(machine -> machine.isReconciled() || machine.mayHoldInheritedTasks());
        }
    }

    /** True if no agent has had to look for another controller lately: a silent one is then not on its way to one. */
    boolean isRoutingStable() {
        return eventLoop.nowMicros() - Math.max(lastDisruptionMicros, loadedMicros) > REROUTING_MICROS;
    }
}
