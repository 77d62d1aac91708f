package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimClusterSettings;
import java.util.Properties;

/** Small deployments with recovery on. */
final class RecoveryClusters {
    static final int NODES = 3;

    private RecoveryClusters() {}

    static SimCluster start(long seed) {
        Properties properties = new Properties();
        properties.setProperty("recovery.enabled", "1");
        return new SimCluster(
                seed, SimClusterSettings.small(NODES, 0), Version.CURRENT, OperatorProperties.of(properties));
    }

    /** True while a loss is stored that has not been made good. */
    static boolean open(SimCluster cluster) {
        JsonNode record = cluster.store().value(RecoveryRecord.KEY);
        return record != null && record.path("open").asBoolean();
    }
}
