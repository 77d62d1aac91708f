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
    private static final double LEADER_PART = 0.25;
    /** So many beyond its part are no reason to move anybody. */
    private static final int SLACK = 3;

    private static final double SLACK_PART = 0.1;
    /** A worker that came back this soon was sent away in vain. */
    private static final long SETTLE_MICROS = 30_000_000;

    private final EventLoop eventLoop;
    private final Peers peers;
    private final String node;
    private final long freshMicros;
    private final Map<String, Long> seenMicros = new HashMap<>();
    private final Map<String, Long> movedMicros = new HashMap<>();
    private int toMove;
    private String moveTo;

    /** @param reportMicros the interval between two reports of a worker */
    public WorkerLoadBalancer(EventLoop eventLoop, Peers peers, String node, long reportMicros) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.node = node;
        this.freshMicros = 2 * reportMicros + 1_000_000;
    }

    /** The worker has reported here. */
    public synchronized void seen(String machine) {
        seenMicros.put(machine, eventLoop.nowMicros());
    }

    /** The worker is served elsewhere from now on. */
    public synchronized void sentOn(String machine) {
        movedMicros.put(machine, eventLoop.nowMicros());
        seenMicros.remove(machine);
    }

    public synchronized boolean sentOnLately(String machine) {
        Long at = movedMicros.get(machine);
        return at != null && eventLoop.nowMicros() - at < SETTLE_MICROS;
    }

    public synchronized int workers() {
        return seenMicros.size();
    }

    /** Looks how the workers are spread; done once a second or so. */
    public synchronized void review(String leader) {
        long now = eventLoop.nowMicros();
        seenMicros.values().removeIf(at -> now - at > freshMicros);
        movedMicros.values().removeIf(at -> now - at > SETTLE_MICROS);
        toMove = 0;
        moveTo = null;
        int all = seenMicros.size();
        double parts = part(node, leader);
        for (Hello peer : peers.fresh()) {
            if (peer.serves()) {
                all += peer.workers();
                parts += part(peer.node(), leader);
            }
        }
        double over = seenMicros.size() - all * part(node, leader) / parts;
        if (over < SLACK + SLACK_PART * all / parts) {
            return;
        }
        double most = 0;
        for (Hello peer : peers.fresh()) {
            double room = all * part(peer.node(), leader) / parts - peer.workers();
            if (peer.serves() && room > most) {
                most = room;
                moveTo = peer.node();
            }
        }
        toMove = (int) Math.min(over, Math.ceil(most / 2));
    }

    private static double part(String who, String leader) {
        return who.equals(leader) ? LEADER_PART : 1;
    }

    /** Where the worker is to go, or null if it is to stay. */
    public synchronized String moveTo(String machine) {
        if (toMove <= 0 || sentOnLately(machine)) {
            return null;
        }
        toMove--;
        return moveTo;
    }
}
