package io.sillreel.cloud;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.sillreel.cloud.CloudClient.MachineList;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimTime;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CloudClientTest {
    private static final int MACHINES = 4_000;
    private static final long SECOND = 1_000_000;
    /** The lowest rate limit that an operator has, less the part that a controller leaves to the others. */
    private static final double REQUESTS_PER_SECOND = 1.2;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimTime.Process process = time.new Process();
    private final RateLimiter rateLimiter = new RateLimiter(process, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
    private final CloudClient cloud =
            new CloudClient(network.clientOf("node", process), process, "cloud:1", rateLimiter);
    private int requests;

    CloudClientTest() {
        network.listen("cloud:1", request -> CompletableFuture.completedFuture(respond(request)));
    }

    private HttpResponse respond(HttpRequest request) {
        requests++;
        if (request.method().equals("POST")) {
            return HttpResponse.of(200, Json.object());
        }
        QueryStringDecoder query = new QueryStringDecoder(request.path());
        String since =
                query.parameters().getOrDefault("since", List.of("host-000000")).get(0);
        int first = Integer.parseInt(since.substring("host-".length())) + 1;
        int limit = Integer.parseInt(query.parameters().get("limit").get(0));
        ObjectNode body = Json.object().put("truncated", first + limit <= MACHINES);
        ArrayNode machines = body.putArray("hoppers");
        for (int index = first; index < first + limit && index <= MACHINES; index++) {
            machines.addObject().put("uid", "host-%06d".formatted(index)).put("stage", "running");
        }
        return HttpResponse.of(200, body);
    }

    /**
     * Guards the listing of a large fleet: a page beyond the rate limit used to end it, so that fleets of more than
     * about 500 machines were never listed.
     */
    @Test
    void listsLargeFleetAtLowRequestRate() {
        CompletableFuture<MachineList> list = cloud.listMachines();
        time.runFor(12 * SECOND);
        assertThat(list).isCompletedWithValueMatching(machines -> machines.outcome() == Outcome.OK);
        assertThat(list.join().machines()).hasSize(MACHINES);
        assertThat(requests).isEqualTo(MACHINES / 500);
    }

    @Test
    void listingAndReturningMachinesShareTheRequestRate() {
        CompletableFuture<MachineList> list = cloud.listMachines();
        int acceptedReturns = 0;
        for (int second = 0; second < 60; second++) {
            CompletableFuture<Outcome> returned = cloud.returnMachines(List.of("host-000001"));
            time.runFor(SECOND);
            acceptedReturns += returned.join() == Outcome.OK ? 1 : 0;
        }
        assertThat(list).isCompletedWithValueMatching(machines -> machines.outcome() == Outcome.OK);
        assertThat(acceptedReturns).isGreaterThan(40);
    }

    @Test
    void returnRequestIsCappedAtProtocolLimit() {
        List<String> machines =
                IntStream.range(0, 250).mapToObj("host-%06d"::formatted).toList();
        int[] returnedCount = new int[1];
        network.addRule((from, to, request) -> {
            returnedCount[0] = Json.parse(request.body()).path("hoppers").size();
            return null;
        });
        cloud.returnMachines(machines);
        time.runFor(SECOND);
        assertThat(returnedCount[0]).isEqualTo(100);
    }

    @Test
    void retriesRefusedPages() {
        network.addRule((from, to, request) -> requests++ % 3 == 0 ? Action.REJECT : null);
        CompletableFuture<MachineList> list = cloud.listMachines();
        time.runFor(60 * SECOND);
        assertThat(list.join().machines()).hasSize(MACHINES);
    }

    @Test
    void listingFailsDuringOutage() {
        network.addRule((from, to, request) -> Action.REJECT);
        network.stopListening("cloud:1");
        CompletableFuture<MachineList> list = cloud.listMachines();
        time.runFor(60 * SECOND);
        assertThat(list.join().outcome()).isNotEqualTo(Outcome.OK);
    }
}
