package io.sillreel.cloud;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.StateStore;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types that the cloud offers. The leader requests them from the cloud and stores the response, so that a
 * controller that starts while the cloud is unavailable can still validate submissions. The catalog is replaced
 * atomically and may be read by any thread.
 */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final long RETRY_MICROS = 1_000_000;
    private static final long REFRESH_MICROS = 60_000_000;

    private final MachineTypeStore store;
    private final CloudClient cloud;
    private final EventLoop eventLoop;
    private final BooleanSupplier isLeader;
    private volatile Map<String, MachineType> types = Map.of();

    /** @param isLeader true while this controller is the leader, which keeps the stored machine types current */
    public MachineTypeCatalog(StateStore store, CloudClient cloud, EventLoop eventLoop, BooleanSupplier isLeader) {
        this.store = new MachineTypeStore(store);
        this.cloud = cloud;
        this.eventLoop = eventLoop;
        this.isLeader = isLeader;
    }

    /** Returns the machine types by name; empty until they have been read for the first time. */
    public Map<String, MachineType> types() {
        return types;
    }

    /**
     * Starts refreshing the catalog: reads the stored list, and queries the cloud if the catalog is empty or this
     * controller is the leader. Repeats every second until the catalog is filled, then every minute.
     */
    public void start() {
        Runnable scheduleNext = () -> eventLoop.schedule(types.isEmpty() ? RETRY_MICROS : REFRESH_MICROS, this::start);
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.read(),
                        "the stored machine types",
                        stored -> {
                            update(stored.types());
                            if (types.isEmpty() || isLeader.getAsBoolean()) {
                                fetchFromCloud(stored);
                            }
                            scheduleNext.run();
                        },
                        scheduleNext);
    }

    private void fetchFromCloud(MachineTypeStore.StoredTypes stored) {
        eventLoop.unexpectedErrors().whenDone(cloud.listMachineTypes(), "the machine types of the cloud", result -> {
            if (result.outcome() != CloudClient.Outcome.OK || result.list().isEmpty()) {
                return;
            }
            update(result.list());
            if (stored.isConclusive()) {
                store.write(result.list(), stored.revision());
            }
        });
    }

    private void update(MachineTypeList list) {
        if (list.isEmpty()) {
            return;
        }
        if (types.isEmpty()) {
            LOG.info("loaded machine types: {}", String.join(", ", list.types().keySet()));
        }
        types = list.types();
    }
}
