package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.Json;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types. The lease leader asks the cloud and stores the answer, so that a controller that starts while the
 * cloud is down can still judge submissions.
 */
public final class MachineTypeCatalog {
    public static final String KEY = "flavors";
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final long RETRY_MICROS = 1_000_000;
    private static final long REFRESH_MICROS = 60_000_000;

    private final StateStore store;
    private final CloudClient cloud;
    private final EventLoop eventLoop;
    private final BooleanSupplier holdsLease;
    private volatile Map<String, MachineType> types = Map.of();

    /** @param holdsLease true while this controller may update the stored machine types */
    public MachineTypeCatalog(StateStore store, CloudClient cloud, EventLoop eventLoop, BooleanSupplier holdsLease) {
        this.store = store;
        this.cloud = cloud;
        this.eventLoop = eventLoop;
        this.holdsLease = holdsLease;
    }

    public Map<String, MachineType> types() {
        return types;
    }

    /** Begins to look: in the store first, in the cloud if nothing is stored, and for prices now and then. */
    public void start() {
        store.get(KEY).thenAccept(read -> {
            if (read.outcome() == StoreOutcome.OK) {
                learn(read.entry().value());
            }
            if (types.isEmpty() || holdsLease.getAsBoolean()) {
                ask(read.revision(), read.isConclusive());
            }
            eventLoop.schedule(types.isEmpty() ? RETRY_MICROS : REFRESH_MICROS, this::start);
        });
    }

    private void ask(long revision, boolean storable) {
        cloud.machineTypes().thenAccept(answer -> {
            if (answer.outcome() != CloudClient.Outcome.OK
                    || MachineType.readAll(answer.body()).isEmpty()) {
                return;
            }
            learn(answer.body());
            if (storable) {
                store.commit(new Transaction().requireRevision(KEY, revision).set(KEY, answer.body()))
                        .thenAccept(commit -> {
                            if (commit.outcome() == StoreOutcome.TOO_LARGE) {
                                LOG.error(
                                        "{} is refused by the state service with {} bytes; controllers that start "
                                                + "while the cloud is down will not know the machine types",
                                        KEY,
                                        Json.bytes(answer.body()).length);
                            }
                        });
            }
        });
    }

    private void learn(JsonNode machineTypes) {
        Map<String, MachineType> read = MachineType.readAll(machineTypes);
        if (types.isEmpty() && !read.isEmpty()) {
            LOG.info("machine types: {}", String.join(", ", read.keySet()));
        }
        if (!read.isEmpty()) {
            types = read;
        }
    }
}
