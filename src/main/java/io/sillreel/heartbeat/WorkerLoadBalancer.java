package io.sillreel.heartbeat;

import io.sillreel.http.EventLoop;
import io.sillreel.peer.PeerMessages.Hello;
import io.sillreel.peer.Peers;
import java.util.HashMap;
import java.util.Map;

/**
 * Spreads the workers over the controllers that can serve them: whoever has more than its part sends some on. The lease
 * leader keeps a smaller part, since it decides every answer already.
 */
public final class WorkerLoadBalancer {
    private static final double LEADER_SHARE = 0.25;
    /** So many beyond its part are no reason to move anybody. */
    private static final int SLACK = 3;

    private static final double SLACK_SHARE = 0.1;
    /** A worker that came back this soon was sent away in vain. */
    private static final long SETTLE_MICROS = 30_000_000;

    private final EventLoop eventLoop;
    private final Peers peers;
    private final String node;
    private final long freshMicros;
    private final Map<String, Long> heartbeatMicros = new HashMap<>();
    private final Map<String, Long> redirectedMicros = new HashMap<>();
    private int redirectsLeft;
    private String redirectTarget;

    /** @param reportMicros the interval between two reports of a worker */
    public WorkerLoadBalancer(EventLoop eventLoop, Peers peers, String node, long reportMicros) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.node = node;
        this.freshMicros = 2 * reportMicros + 1_000_000;
    }

    /** The worker has reported here. */
    public synchronized void heartbeatReceived(String machine) {
        heartbeatMicros.put(machine, eventLoop.nowMicros());
    }

    /** The worker is served elsewhere from now on. */
    public synchronized void redirected(String machine) {
        redirectedMicros.put(machine, eventLoop.nowMicros());
        heartbeatMicros.remove(machine);
    }

    public synchronized boolean wasRedirectedRecently(String machine) {
        Long at = redirectedMicros.get(machine);
        return at != null && eventLoop.nowMicros() - at < SETTLE_MICROS;
    }

    public synchronized int workerCount() {
        return heartbeatMicros.size();
    }

    /** Looks how the workers are spread; done once a second or so. */
    public synchronized void rebalance(String leader) {
        long now = eventLoop.nowMicros();
        heartbeatMicros.values().removeIf(at -> now - at > freshMicros);
        redirectedMicros.values().removeIf(at -> now - at > SETTLE_MICROS);
        redirectsLeft = 0;
        redirectTarget = null;
        int all = heartbeatMicros.size();
        double parts = share(node, leader);
        for (Hello peer : peers.fresh()) {
            if (peer.serves()) {
                all += peer.workers();
                parts += share(peer.node(), leader);
            }
        }
        double over = heartbeatMicros.size() - all * share(node, leader) / parts;
        if (over < SLACK + SLACK_SHARE * all / parts) {
            return;
        }
        double most = 0;
        for (Hello peer : peers.fresh()) {
            double room = all * share(peer.node(), leader) / parts - peer.workers();
            if (peer.serves() && room > most) {
                most = room;
                redirectTarget = peer.node();
            }
        }
        redirectsLeft = (int) Math.min(over, Math.ceil(most / 2));
    }

    private static double share(String who, String leader) {
        return who.equals(leader) ? LEADER_SHARE : 1;
    }

    /** Where the worker is to go, or null if it is to stay. */
    public synchronized String redirectTarget(String machine) {
        if (redirectsLeft <= 0 || wasRedirectedRecently(machine)) {
            return null;
        }
        redirectsLeft--;
        return redirectTarget;
    }
}
