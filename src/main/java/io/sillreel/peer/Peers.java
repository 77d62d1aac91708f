package io.sillreel.peer;

import io.sillreel.http.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The last hello of each other controller. Hellos older than three seconds are ignored. Thread-safe. */
public final class Peers {
    private static final long RECENT_MICROS = 3_000_000;

    private final EventLoop eventLoop;
    /** Keyed by node name, like the map below; both are guarded by this. */
    private final Map<String, Hello> hellos = new HashMap<>();

    private final Map<String, Long> receivedMicros = new HashMap<>();

    public Peers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Records a hello, which replaces an earlier one of the same controller. */
    public synchronized void recordHello(Hello hello) {
        hellos.put(hello.node(), hello);
        receivedMicros.put(hello.node(), eventLoop.nowMicros());
    }

    /** True if a hello of the controller arrived within the last given number of microseconds. */
    public synchronized boolean wasHeardWithin(String node, long micros) {
        Long at = receivedMicros.get(node);
        return at != null && eventLoop.nowMicros() - at < micros;
    }

    /** Returns the recent hellos of other controllers. */
    public synchronized Collection<Hello> recentHellos() {
        List<Hello> recent = new ArrayList<>();
        hellos.forEach((node, hello) -> {
            if (eventLoop.nowMicros() - receivedMicros.get(node) < RECENT_MICROS) {
                recent.add(hello);
            }
        });
        return recent;
    }

    /** True if no other controller has sent a recent hello. */
    public boolean hasNoRecentPeer() {
        return recentHellos().isEmpty();
    }

    /** True if another controller reaches the state service, so that the service is not down for all controllers. */
    public boolean isStoreReachableElsewhere() {
        return recentHellos().stream().anyMatch(Hello::isStoreReachable);
    }
}
