package io.sillreel.leadership;

import io.sillreel.cloud.MachineType;
import io.sillreel.http.EventLoop;
import io.sillreel.placement.DemandEstimator;
import io.sillreel.statestore.StateStore;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

/** Reads the stored state at the beginning of a term, and retries until a complete read succeeds. */
final class StoredStateLoader {
    /** Receives the stored state on the event loop, unless the term has ended before. */
    interface Receiver {
        /** @param sentMicros when the state was requested, by the steady clock */
        void stateRead(StoredState state, long sentMicros);
    }

    private static final long RETRY_MICROS = 300_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final int firstVersionMaxValueBytes;
    private final Supplier<Map<String, MachineType>> machineTypes;
    private final LeaderAuthority authority;
    private final Receiver receiver;
    private final Runnable onError;

    /**
     * @param firstVersionMaxValueBytes the value size limit by which the first version split completion bitmaps
     * @param machineTypes the machine types of the cloud; reading starts once they are known
     * @param onError ends the term, which would otherwise hold the lease without ever serving
     */
    StoredStateLoader(
            EventLoop eventLoop,
            StateStore store,
            int firstVersionMaxValueBytes,
            Supplier<Map<String, MachineType>> machineTypes,
            LeaderAuthority authority,
            Receiver receiver,
            Runnable onError) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.firstVersionMaxValueBytes = firstVersionMaxValueBytes;
        this.machineTypes = machineTypes;
        this.authority = authority;
        this.receiver = receiver;
        this.onError = onError;
    }

    void load() {
        if (authority.isClosed()) {
            return;
        }
        if (machineTypes.get().isEmpty()) {
            eventLoop.schedule(RETRY_MICROS, this::load);
            return;
        }
        long sentMicros = eventLoop.nowMicros();
        LongPredicate countsAsDemand = admitted -> DemandEstimator.isWithinWindow(admitted, eventLoop.wallMicros());
        StoredStateReader reader = new StoredStateReader(
                store,
                eventLoop.unexpectedErrors(),
                firstVersionMaxValueBytes,
                countsAsDemand,
                () -> !authority.isClosed());
        eventLoop
                .unexpectedErrors()
                .whenDone(reader.read(), "the stored state", state -> handle(state, sentMicros), onError);
    }

    private void handle(Optional<StoredState> state, long sentMicros) {
        if (authority.isClosed()) {
            return;
        }
        if (state.isEmpty()) {
            eventLoop.schedule(RETRY_MICROS, this::load);
            return;
        }
        receiver.stateRead(state.get(), sentMicros);
    }
}
