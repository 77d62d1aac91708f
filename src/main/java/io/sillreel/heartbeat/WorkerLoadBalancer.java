package io.sillreel.heartbeat;

import io.sillreel.http.EventLoop;
import io.sillreel.peer.Hello;
import io.sillreel.peer.Peers;
import java.util.HashMap;
import java.util.Map;

/**
 * Balances the workers over the controllers that can serve them: a controller with more than its share redirects some
 * of its workers. The leader has a smaller share, since it already processes all heartbeats. Thread-safe; all state is
 * guarded by this.
 */
public final class WorkerLoadBalancer {
    private static final double LEADER_WEIGHT = 0.25;
    /** An excess below this number, plus {@link #MAX_EXCESS_FRACTION} of an equal share, is tolerated. */
    private static final int MAX_EXCESS_WORKERS = 3;

    private static final double MAX_EXCESS_FRACTION = 0.1;
    /** A worker that comes back within this time could not use the other controller, and is not redirected again. */
    private static final long REDIRECT_MEMORY_MICROS = 30_000_000;

    private final EventLoop eventLoop;
    private final Peers peers;
    private final String ownNode;
    private final long heartbeatTimeoutMicros;
    private final Map<String, Long> heartbeatMicros = new HashMap<>();
    private final Map<String, Long> redirectedMicros = new HashMap<>();
    private int remainingRedirects;
    private String redirectTarget;

    /** @param heartbeatIntervalMicros the interval between two heartbeats of a worker */
    public WorkerLoadBalancer(EventLoop eventLoop, Peers peers, String node, long heartbeatIntervalMicros) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.ownNode = node;
        this.heartbeatTimeoutMicros = 2 * heartbeatIntervalMicros + 1_000_000;
    }

    /** Records a heartbeat of the worker to this controller. */
    public synchronized void recordHeartbeat(String machine) {
        heartbeatMicros.put(machine, eventLoop.nowMicros());
    }

    /** Records that the worker was redirected to another controller. */
    public synchronized void recordRedirect(String machine) {
        redirectedMicros.put(machine, eventLoop.nowMicros());
        heartbeatMicros.remove(machine);
    }

    /** True if the worker was redirected within the last 30 seconds. */
    public synchronized boolean wasRedirectedRecently(String machine) {
        Long at = redirectedMicros.get(machine);
        return at != null && eventLoop.nowMicros() - at < REDIRECT_MEMORY_MICROS;
    }

    /** Returns how many workers send their heartbeats to this controller. */
    public synchronized int workerCount() {
        return heartbeatMicros.size();
    }

    /**
     * Computes how many workers to redirect, and to which controller; called about once a second.
     *
     * @param leader the name of the leader, or null if none is known
     */
    public synchronized void rebalance(String leader) {
        long now = eventLoop.nowMicros();
        heartbeatMicros.values().removeIf(at -> now - at > heartbeatTimeoutMicros);
        redirectedMicros.values().removeIf(at -> now - at > REDIRECT_MEMORY_MICROS);
        remainingRedirects = 0;
        redirectTarget = null;
        int totalWorkers = heartbeatMicros.size();
        double totalWeight = weight(ownNode, leader);
        for (Hello peer : peers.recentHellos()) {
            if (peer.isServing()) {
                totalWorkers += peer.workerCount();
                totalWeight += weight(peer.node(), leader);
            }
        }
        double excess = heartbeatMicros.size() - totalWorkers * weight(ownNode, leader) / totalWeight;
        if (excess < MAX_EXCESS_WORKERS + MAX_EXCESS_FRACTION * totalWorkers / totalWeight) {
            return;
        }
        double largestDeficit = 0;
        for (Hello peer : peers.recentHellos()) {
            double deficit = totalWorkers * weight(peer.node(), leader) / totalWeight - peer.workerCount();
            if (peer.isServing() && deficit > largestDeficit) {
                largestDeficit = deficit;
                redirectTarget = peer.node();
            }
        }
        remainingRedirects = (int) Math.min(excess, Math.ceil(largestDeficit / 2));
    }

    private static double weight(String node, String leader) {
        return node.equals(leader) ? LEADER_WEIGHT : 1;
    }

    /** Returns the controller to redirect the worker to, or null; decrements the number of remaining redirects. */
    public synchronized String takeRedirectTarget(String machine) {
        if (remainingRedirects <= 0 || wasRedirectedRecently(machine)) {
            return null;
        }
        remainingRedirects--;
        return redirectTarget;
    }
}
