package io.sillreel.cloud;

import static io.sillreel.golden.GoldenSamples.response;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.cloud.CloudClient.ListedMachine;
import io.sillreel.cloud.CloudClient.MachineList;
import io.sillreel.cloud.CloudClient.MachineTypesResult;
import io.sillreel.golden.GoldenSamples;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Compares requests to the cloud, decoded responses and stored machine types with golden samples. */
class CloudSamplesTest {
    private static final String TYPES =
            "200 {\"builds\":[{\"sku\":\"g\\\"8\",\"vcpus\":8,\"cards\":0.5,\"ram_gb\":64.25,"
                    + "\"cache_gb\":100,\"pull_gb_per_s\":0.25,\"price\":3.5,\"spot_price\":1.25,\"boot_s\":61.5,"
                    + "\"yards\":[\"a\",\"é\"]},{\"sku\":\"c4\"}]}";

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();

    private CloudClient cloud(Transcript transcript) {
        return new CloudClient(transcript, process, "cloud:1", unlimited());
    }

    private RateLimiter unlimited() {
        return new RateLimiter(process, 1e6, 1e6);
    }

    @Test
    void readsEachResponseToEachRequest() throws Exception {
        GoldenSamples.assertConverts("cloud-answers.txt", input -> {
            Transcript transcript = new Transcript(request -> CompletableFuture.completedFuture(response(input)));
            CloudClient cloud = cloud(transcript);
            MachineTypesResult types = cloud.listMachineTypes().join();
            transcript.note(values(List.of(
                    types.outcome(),
                    types.list().types().values().stream()
                            .map(CloudSamplesTest::fields)
                            .toList())));
            transcript.note(values(cloud.provisionMachines("hopper-1.3.7", "g\"8", "é", true, 50)
                    .join()));
            transcript.note(values(
                    cloud.returnMachines(List.of("host-000001", "host-é")).join()));
            CompletableFuture<MachineList> machines = cloud.listMachines();
            time.runFor(10_000_000);
            transcript.note(values(machines.join()));
            return transcript.toString().strip();
        });
    }

    private static List<Object> fields(MachineType type) {
        return List.of(
                type.name(),
                type.cpus(),
                type.gpus(),
                type.ramGb(),
                type.cacheGb(),
                type.pullGbPerSecond(),
                type.priceOf(false),
                type.priceOf(true),
                type.bootMicros(),
                type.zones());
    }

    @Test
    void requestsNextPageAfterLastMachine() {
        Deque<String> pages = new ArrayDeque<>(List.of(
                "200 {\"hoppers\":[{\"uid\":\"host-000001\"},{\"uid\":\"host-000002\"}],\"truncated\":true}",
                "200 {\"hoppers\":[{\"uid\":\"host-000003\"}],\"truncated\":false}"));
        Transcript transcript = new Transcript(request -> CompletableFuture.completedFuture(response(pages.remove())));
        List<ListedMachine> machines = cloud(transcript).listMachines().join().machines();
        transcript.note(values(machines.stream().map(ListedMachine::name).toList()));
        GoldenSamples.assertMatches("cloud-pages.txt", transcript.toString());
    }

    @Test
    void storesMachineTypesAndReadsThemBack() {
        SimStateService stateService = new SimStateService(time, 20, 8_192, 1_000);
        Transcript transcript = new Transcript(request -> request.path().equals("/flavors")
                ? CompletableFuture.completedFuture(response(TYPES))
                : stateService.handle(request));
        StateStore store = new StateStore(transcript, transcript, process, "state:1", unlimited(), unlimited());
        for (int start = 0; start < 2; start++) {
            MachineTypeCatalog catalog = new MachineTypeCatalog(store, cloud(transcript), process, () -> false);
            catalog.start();
            time.runFor(500_000);
            transcript.note(String.join(",", catalog.types().keySet()));
        }
        transcript.note(values(stateService.value("flavors")));
        GoldenSamples.assertMatches("machine-types.txt", transcript.toString());
    }
}
