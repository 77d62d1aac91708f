package io.sillreel;

import io.sillreel.cloud.MachineTypeCatalog;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.RequestQueue;
import io.sillreel.peer.Peers;
import io.sillreel.statestore.StateStore;

/** Responds to health checks, by which the platform routes users' requests. */
final class HealthCheck {
    private static final long MAX_STORE_SILENCE_MICROS = 4_000_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Peers peers;
    private final MachineTypeCatalog machineTypes;
    private final RequestQueue requestQueue;
    private final long startedMicros;

    HealthCheck(
            EventLoop eventLoop,
            StateStore store,
            Peers peers,
            MachineTypeCatalog machineTypes,
            RequestQueue requestQueue) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.peers = peers;
        this.machineTypes = machineTypes;
        this.requestQueue = requestQueue;
        this.startedMicros = eventLoop.nowMicros();
    }

    /** True if the state service has responded recently, and for some time after the start in any case. */
    boolean isStoreReachable() {
        return eventLoop.nowMicros() - Math.max(store.lastConclusiveResponseMicros(), startedMicros)
                < MAX_STORE_SILENCE_MICROS;
    }

    /**
     * Responds unhealthy if another controller can reach the state service while this one can't, or while this one has
     * no machine types yet to validate submissions with: the other controller then serves users better. If no
     * controller can reach the service, an unhealthy response would not help. Also responds unhealthy, whatever the
     * others can do, while the requests of this controller are not handled: health checks do not wait with them.
     */
    HttpResponse respond() {
        if (requestQueue.isStalled()) {
            return HttpResponse.retryLater(503, "the queued requests are not handled", 1);
        }
        boolean canServe = isStoreReachable() && !machineTypes.types().isEmpty();
        if (!canServe && peers.isStoreReachableElsewhere()) {
            return HttpResponse.retryLater(503, "the state service can't be asked from here", 1);
        }
        return HttpResponse.of(200, Json.object().put("ok", true));
    }
}
