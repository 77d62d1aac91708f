package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.peer.Peers;
import io.sillreel.settings.Settings;
import java.util.HashSet;
import java.util.Set;

/**
 * Judges whether this leader is reached by the workers and reaches the state service, or better lets another one lead.
 */
final class LeaderReachability {
    /** So long without any report, while others get some they can't hand on, or while nobody says anything. */
    private static final long UNREACHED_MICROS = 6_000_000;

    private static final long ISOLATED_MICROS = 12_000_000;
    /** So long without knowing the cancellations, in which nothing may be launched, while the lease is renewed. */
    private static final long CANCELLATIONS_UNKNOWN_MICROS = 15_000_000;

    private static final long CANDIDACY_PAUSE_MICROS = 10_000_000;
    /** A worker finds another controller within two time-outs and a report. */
    private static final long REROUTING_MICROS = 15_000_000;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final LeaderElection leadership;
    private final Peers peers;
    private final Cluster cluster;
    private final Set<String> redirectedMachines = new HashSet<>();
    private boolean stateLoaded;
    private long loadedMicros;
    private long lastHeartbeatMicros;
    private long lastDisruptionMicros;

    LeaderReachability(
            EventLoop eventLoop, Settings settings, LeaderElection leadership, Peers peers, Cluster cluster) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.leadership = leadership;
        this.peers = peers;
        this.cluster = cluster;
    }

    /** What is stored has been read: from now on reports are answered. */
    void stateLoaded() {
        stateLoaded = true;
        loadedMicros = eventLoop.nowMicros();
    }

    /** A worker's report has reached this leader. */
    void heartbeatReceived() {
        lastHeartbeatMicros = eventLoop.nowMicros();
    }

    /**
     * Without proof of the lease nothing is launched here, and another controller may lead. If the state service
     * answers somebody else, one does or soon will, so workers are let go while their tasks live. If nobody is heard at
     * all, this controller is more likely cut off than everybody down: each worker is sent to look once, and kept if it
     * comes back. If others are heard and are not answered either, it is an outage for all, in which holding over saves
     * the tasks.
     */
    boolean shouldRedirect(String machine) {
        if (peers.isStoreReachableElsewhere()) {
            return true;
        }
        return settings.controllerCount() > 1 && peers.isNoneHeard() && redirectedMachines.add(machine);
    }

    /**
     * Looks, about once a second, whether the workers reach this leader at all, and resigns if another one may do
     * better.
     *
     * @param cancellationProofMicros all cancellations that were confirmed before are known
     * @param writesStuck true if writes do not come to an end
     */
    void resignIfUnreachable(long cancellationProofMicros, boolean writesStuck) {
        long now = eventLoop.nowMicros();
        boolean expected;
        synchronized (cluster) {
            expected = stateLoaded
                    && cluster.machines().stream()
                            .anyMatch(machine -> machine.isReconciled() || machine.mayHoldInheritedTasks());
        }
        if (leadership.isLeaseValid()) {
            redirectedMachines.clear();
            boolean cancellationsUnknown = stateLoaded && now - cancellationProofMicros > CANCELLATIONS_UNKNOWN_MICROS;
            if (cancellationsUnknown || writesStuck) {
                // The lease is held and nothing comes of it; whoever begins anew from what is stored is better off.
                if (settings.controllerCount() > 1) {
                    leadership.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
                }
                leadership.resign(
                        cancellationsUnknown
                                ? "the watch of cancellations makes no progress"
                                : "the write queue makes no progress");
                return;
            }
        }
        boolean heardElsewhere = peers.recentHellos().stream().anyMatch(peer -> peer.unansweredHeartbeats() > 0);
        if (heardElsewhere
                || peers.recentHellos().size() < settings.controllerCount() - 1
                || !leadership.isLeaseValid()) {
            lastDisruptionMicros = now;
        }
        if (settings.controllerCount() == 1 || !heardElsewhere && !peers.isNoneHeard()) {
            // Nobody else could lead, or nobody hears a worker, so there is none to hear.
            return;
        }
        long patience = heardElsewhere ? UNREACHED_MICROS : ISOLATED_MICROS;
        if (expected && now - Math.max(lastHeartbeatMicros, loadedMicros) > patience) {
            // Whoever can be reached may lead instead; tasks die if nobody answers for them.
            leadership.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
            leadership.resign("no heartbeats reach this controller");
        }
    }

    /** True if no worker has had to look for another controller lately: then a silent one is not on its way to one. */
    boolean isRoutingStable() {
        return eventLoop.nowMicros() - Math.max(lastDisruptionMicros, loadedMicros) > REROUTING_MICROS;
    }
}
