package io.sillreel.peer;

import io.sillreel.http.EventLoop;
import io.sillreel.peer.PeerMessages.Hello;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other controllers as they last said they were; what is older than a few seconds does not count. */
public final class Peers {
    private static final long RECENT_MICROS = 3_000_000;

    private final EventLoop eventLoop;
    private final Map<String, Hello> hellos = new HashMap<>();
    private final Map<String, Long> receivedMicros = new HashMap<>();

    public Peers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    public synchronized void recordHello(Hello hello) {
        hellos.put(hello.node(), hello);
        receivedMicros.put(hello.node(), eventLoop.nowMicros());
    }

    /** True if the controller was heard within the time that has just passed. */
    public synchronized boolean wasHeardWithin(String node, long micros) {
        Long at = receivedMicros.get(node);
        return at != null && eventLoop.nowMicros() - at < micros;
    }

    /** Those that were heard lately. */
    public synchronized Collection<Hello> recentHellos() {
        List<Hello> fresh = new ArrayList<>();
        hellos.forEach((node, hello) -> {
            if (eventLoop.nowMicros() - receivedMicros.get(node) < RECENT_MICROS) {
                fresh.add(hello);
            }
        });
        return fresh;
    }

    /** True if nobody else is heard at all, though there are others. */
    public boolean isNoneHeard() {
        return recentHellos().isEmpty();
    }

    /** True if the state service answers another controller: then an outage is not for all. */
    public boolean isStoreReachableElsewhere() {
        return recentHellos().stream().anyMatch(Hello::isStoreReachable);
    }
}
