package io.sillreel.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.cloud.MachineType;
import io.sillreel.cloud.MachineType.ImageStorage;
import io.sillreel.cloud.MachineType.Pricing;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.settings.ValueLimits;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.WriteQueue;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetRegistryTest {
    private static final long MINUTE = 60_000_000;

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final Cluster cluster = new Cluster(Map.of());
    private final StateStore store = network.newStateStoreClient(process, 10, 10);
    private final FleetRegistry registry = new FleetRegistry(
            process,
            1,
            cluster,
            new WriteQueue(store, process, "leader", 1, 4, reason -> {}),
            ValueLimits.fixed(2_048),
            () -> Map.of(
                    "c4",
                    new MachineType("c4", 4, 0, 16, new ImageStorage(50, 1), new Pricing(1, 0.5), 1, List.of("a"))),
            Machine::clearAllocations);

    private void adoptAndRemove(String name) {
        registry.remove(registry.adoptMachine(name, "c4", "a", true).orElseThrow());
    }

    /** Guards against stale heartbeats that arrive minutes late, and against unbounded growth during a long term. */
    @Test
    void retainsReturnedMachineNamesForOneHour() {
        adoptAndRemove("host-000001");
        time.runFor(59 * MINUTE);
        adoptAndRemove("host-000002");
        assertThat(registry.wasReturned("host-000001")).isTrue();
        time.runFor(2 * MINUTE);
        adoptAndRemove("host-000003");
        assertThat(registry.wasReturned("host-000001")).isFalse();
        assertThat(registry.wasReturned("host-000002")).isTrue();
        assertThat(cluster.machines()).isEmpty();
    }
}
