package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimClusterSettings;
import java.util.Properties;

/** Small simulated clusters with recovery enabled. */
final class RecoveryClusters {
    static final int NODES = 3;

    private RecoveryClusters() {}

    static SimCluster start(long seed) {
        Properties properties = new Properties();
        properties.setProperty("recovery.enabled", "1");
        return new SimCluster(
                seed, SimClusterSettings.small(NODES, 0), Version.CURRENT, OperatorProperties.of(properties));
    }

    /** True while the stored recovery record is open. */
    static boolean isRecoveryOpen(SimCluster cluster) {
        JsonNode record = cluster.store().value(RecoveryRecord.KEY);
        return record != null && record.path("open").asBoolean();
    }
}
