package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.cloud.MachineType;
import io.sillreel.cloud.MachineType.ImageStorage;
import io.sillreel.cloud.MachineType.Pricing;
import io.sillreel.http.Json;
import java.util.List;

/** Creates machines for tests. */
public final class TestMachines {
    private static final MachineType TYPE =
            new MachineType("c4", 4, 0, 16, new ImageStorage(50, 1), new Pricing(1, 0.5), 4_000_000, List.of("a"));

    private TestMachines() {}

    /** Adds a machine of 4 CPUs and 16 GB that is up, reconciled and stored as up. */
    public static Machine addUpMachine(Cluster cluster, String name, String zone, boolean isSpot, long nowMicros) {
        var value = Json.object()
                .put("build", "c4")
                .put("yard", zone)
                .put("spot", isSpot)
                .put("count", 1);
        value.putArray("machines").add(name);
        Machine machine = new Machine(
                name,
                TYPE,
                zone,
                isSpot,
                ScaleOutRequestCodec.decode("hire/" + name, value, 1),
                nowMicros,
                cluster.allocationIndex());
        cluster.add(machine);
        machine.acceptHeartbeat(
                new Heartbeat(name, name + ":1", new MachineDescription("c4", zone, isSpot), 1, 1, 1, -1, List.of()),
                false,
                nowMicros);
        machine.markReconciled();
        return machine;
    }
}
