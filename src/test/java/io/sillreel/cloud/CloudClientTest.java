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
    /** Requests a second: the least that an operator has, less what a controller leaves to others. */
    private static final double RATE = 1.2;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimTime.Process process = time.new Process();
    private final RateLimiter rateLimiter = new RateLimiter(process, RATE, RATE);
    private final CloudClient cloud =
            new CloudClient(network.clientOf("node", process), process, "cloud:1", rateLimiter);
    private int requests;

    CloudClientTest() {
        network.listen("cloud:1", request -> CompletableFuture.completedFuture(answer(request)));
    }

    private HttpResponse answer(HttpRequest request) {
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
        ArrayNode hoppers = body.putArray("hoppers");
        for (int each = first; each < first + limit && each <= MACHINES; each++) {
            hoppers.addObject().put("uid", "host-%06d".formatted(each)).put("stage", "running");
        }
        return HttpResponse.of(200, body);
    }

    /** Guards the list of a large fleet: a page beyond the rate ended it, so that beyond some 500 it never came. */
    @Test
    void theListOfALargeFleetIsReadAtALowRate() {
        CompletableFuture<MachineList> list = cloud.listMachines();
        time.runFor(12 * SECOND);
        assertThat(list).isCompletedWithValueMatching(machines -> machines.outcome() == Outcome.OK);
        assertThat(list.join().machines()).hasSize(MACHINES);
        assertThat(requests).isEqualTo(MACHINES / 500);
    }

    @Test
    void aListLeavesRateToReturnsAndEndsAlthoughTheyUseAllOfIt() {
        CompletableFuture<MachineList> list = cloud.listMachines();
        int served = 0;
        for (int second = 0; second < 60; second++) {
            CompletableFuture<Outcome> given = cloud.returnMachines(List.of("host-000001"));
            time.runFor(SECOND);
            served += given.join() == Outcome.OK ? 1 : 0;
        }
        assertThat(list).isCompletedWithValueMatching(machines -> machines.outcome() == Outcome.OK);
        assertThat(served).isGreaterThan(40);
    }

    @Test
    void aReturnNamesNoMoreMachinesThanTheProtocolAllows() {
        List<String> many =
                IntStream.range(0, 250).mapToObj("host-%06d"::formatted).toList();
        int[] named = new int[1];
        network.addRule((from, to, request) -> {
            named[0] = Json.parse(request.body()).path("hoppers").size();
            return null;
        });
        cloud.returnMachines(many);
        time.runFor(SECOND);
        assertThat(named[0]).isEqualTo(100);
    }

    @Test
    void aRefusedPageIsRequestedAgain() {
        network.addRule((from, to, request) -> requests++ % 3 == 0 ? Action.REJECT : null);
        CompletableFuture<MachineList> list = cloud.listMachines();
        time.runFor(60 * SECOND);
        assertThat(list.join().machines()).hasSize(MACHINES);
    }

    @Test
    void anOutageEndsTheList() {
        network.addRule((from, to, request) -> Action.REJECT);
        network.stopListening("cloud:1");
        CompletableFuture<MachineList> refused = cloud.listMachines();
        time.runFor(60 * SECOND);
        assertThat(refused.join().outcome()).isNotEqualTo(Outcome.OK);
    }
}
