package io.sillreel.heartbeat;

import io.sillreel.http.EventLoop;
import io.sillreel.peer.Hello;
import io.sillreel.peer.Peers;
import java.util.HashMap;
import java.util.Map;

/**
 * Spreads the workers over the controllers that can serve them: whoever has more than its part sends some on. The lease
 * leader keeps a smaller part, since it decides every answer already.
 */
public final class WorkerLoadBalancer {
    private static final double LEADER_WEIGHT = 0.25;
    /** So many beyond its part are no reason to move anybody. */
    private static final int MAX_EXCESS_WORKERS = 3;

    private static final double MAX_EXCESS_FRACTION = 0.1;
    /** A worker that came back this soon was sent away in vain. */
    private static final long REDIRECT_MEMORY_MICROS = 30_000_000;

    private final EventLoop eventLoop;
    private final Peers peers;
    private final String ownNode;
    private final long heartbeatTimeoutMicros;
    private final Map<String, Long> heartbeatMicros = new HashMap<>();
    private final Map<String, Long> redirectedMicros = new HashMap<>();
    private int remainingRedirects;
    private String redirectTarget;

    /** @param reportMicros the interval between two reports of a worker */
    public WorkerLoadBalancer(EventLoop eventLoop, Peers peers, String node, long reportMicros) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.ownNode = node;
        this.heartbeatTimeoutMicros = 2 * reportMicros + 1_000_000;
    }

    /** The worker has reported here. */
    public synchronized void recordHeartbeat(String machine) {
        heartbeatMicros.put(machine, eventLoop.nowMicros());
    }

    /** The worker is served elsewhere from now on. */
    public synchronized void recordRedirect(String machine) {
        redirectedMicros.put(machine, eventLoop.nowMicros());
        heartbeatMicros.remove(machine);
    }

    public synchronized boolean wasRedirectedRecently(String machine) {
        Long at = redirectedMicros.get(machine);
        return at != null && eventLoop.nowMicros() - at < REDIRECT_MEMORY_MICROS;
    }

    public synchronized int workerCount() {
        return heartbeatMicros.size();
    }

    /** Looks how the workers are spread; done once a second or so. */
    public synchronized void rebalance(String leader) {
        long now = eventLoop.nowMicros();
        heartbeatMicros.values().removeIf(at -> now - at > heartbeatTimeoutMicros);
        redirectedMicros.values().removeIf(at -> now - at > REDIRECT_MEMORY_MICROS);
        remainingRedirects = 0;
        redirectTarget = null;
        int all = heartbeatMicros.size();
        double parts = weight(ownNode, leader);
        for (Hello peer : peers.recentHellos()) {
            if (peer.isServing()) {
                all += peer.workerCount();
                parts += weight(peer.node(), leader);
            }
        }
        double over = heartbeatMicros.size() - all * weight(ownNode, leader) / parts;
        if (over < MAX_EXCESS_WORKERS + MAX_EXCESS_FRACTION * all / parts) {
            return;
        }
        double most = 0;
        for (Hello peer : peers.recentHellos()) {
            double room = all * weight(peer.node(), leader) / parts - peer.workerCount();
            if (peer.isServing() && room > most) {
                most = room;
                redirectTarget = peer.node();
            }
        }
        remainingRedirects = (int) Math.min(over, Math.ceil(most / 2));
    }

    private static double weight(String who, String leader) {
        return who.equals(leader) ? LEADER_WEIGHT : 1;
    }

    /** Where the worker is to go, or null if it is to stay. */
    public synchronized String takeRedirectTarget(String machine) {
        if (remainingRedirects <= 0 || wasRedirectedRecently(machine)) {
            return null;
        }
        remainingRedirects--;
        return redirectTarget;
    }
}
