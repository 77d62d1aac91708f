package io.sillreel.peer;

import io.sillreel.http.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The last hello of each other controller. Hellos older than three seconds are disregarded. Thread-safe. */
public final class Peers {
    private static final long RECENT_MICROS = 3_000_000;

    private final EventLoop eventLoop;
    /** By the name of the node, as the map below; guarded by this. */
    private final Map<String, Hello> hellos = new HashMap<>();

    private final Map<String, Long> receivedMicros = new HashMap<>();

    public Peers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Keeps the hello in place of an earlier one of the same controller. */
    public synchronized void recordHello(Hello hello) {
        hellos.put(hello.node(), hello);
        receivedMicros.put(hello.node(), eventLoop.nowMicros());
    }

    /** True if a hello of the controller came within the given time, in microseconds, before now. */
    public synchronized boolean wasHeardWithin(String node, long micros) {
        Long at = receivedMicros.get(node);
        return at != null && eventLoop.nowMicros() - at < micros;
    }

    /** The hellos of the controllers that were heard recently. */
    public synchronized Collection<Hello> recentHellos() {
        List<Hello> recent = new ArrayList<>();
        hellos.forEach((node, hello) -> {
            if (eventLoop.nowMicros() - receivedMicros.get(node) < RECENT_MICROS) {
                recent.add(hello);
            }
        });
        return recent;
    }

    /** True if no other controller was heard recently. */
    public boolean hasNoRecentPeer() {
        return recentHellos().isEmpty();
    }

    /** True if the state store answers another controller: then it is not down for all. */
    public boolean isStoreReachableElsewhere() {
        return recentHellos().stream().anyMatch(Hello::isStoreReachable);
    }
}
