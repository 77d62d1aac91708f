package io.sillreel.cloud;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class MachineTypeCatalogTest {
    private static final long SECOND = 1_000_000;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimStateService stateService = new SimStateService(time, 100, 8192, 100);
    private final ObjectNode offered = Json.object().put("unknown", "kept");
    private boolean isCloudAvailable = true;
    private int requests;

    MachineTypeCatalogTest() {
        network.listen("state:1", stateService);
        network.listen("cloud:1", request -> {
            requests++;
            return CompletableFuture.completedFuture(
                    isCloudAvailable ? HttpResponse.of(200, offered) : HttpResponse.error(503, "unavailable"));
        });
        ObjectNode type = offered.putArray("builds").addObject();
        type.put("sku", "c4").put("vcpus", 4).put("price", 2.0).put("spot_price", 0.5);
        type.putArray("yards").add("a").add("b");
    }

    private MachineTypeCatalog start(boolean isLeader) {
        SimTime.Process process = time.new Process();
        CloudClient cloud = new CloudClient(
                network.clientOf("node", process), process, "cloud:1", new RateLimiter(process, 10, 10));
        MachineTypeCatalog catalog =
                new MachineTypeCatalog(network.newStateStoreClient(process, 10, 100), cloud, process, () -> isLeader);
        catalog.start();
        time.runFor(5 * SECOND);
        return catalog;
    }

    @Test
    void readsMachineTypesFromCloud() {
        MachineType type = start(true).types().get("c4");
        assertThat(type.cpus()).isEqualTo(4);
        assertThat(type.priceOf(false)).isEqualTo(2);
        assertThat(type.priceOf(true)).isEqualTo(0.5);
        assertThat(type.zones()).containsExactly("a", "b");
    }

    @Test
    void storesCloudResponseUnchanged() {
        start(true);
        assertThat(stateService.value("flavors")).isEqualTo(Json.parse(Json.bytes(offered)));
    }

    @Test
    void readsStoredMachineTypesDuringCloudOutage() {
        start(true);
        isCloudAvailable = false;
        assertThat(start(false).types()).containsOnlyKeys("c4");
    }

    @Test
    void followerDoesNotQueryCloudWhenMachineTypesAreStored() {
        start(true);
        requests = 0;
        start(false);
        assertThat(requests).isZero();
    }

    @Test
    void fillsEmptyCatalogOnceCloudIsAvailable() {
        isCloudAvailable = false;
        MachineTypeCatalog catalog = start(false);
        assertThat(catalog.types()).isEmpty();
        isCloudAvailable = true;
        time.runFor(5 * SECOND);
        assertThat(catalog.types()).containsOnlyKeys("c4");
    }
}
