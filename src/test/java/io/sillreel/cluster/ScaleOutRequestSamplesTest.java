package io.sillreel.cluster;

import static io.sillreel.golden.GoldenSamples.change;
import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the stored form of scale-out requests with golden samples. */
class ScaleOutRequestSamplesTest {
    @Test
    void readsAndWritesScaleOutRequests() throws Exception {
        GoldenSamples.assertConverts("rentals.txt", input -> {
            ScaleOutRequest request = ScaleOutRequestCodec.decode(
                    ScaleOutRequest.PREFIX + "hopper-1.3.7", json(input), 1_000_000_000_001L);
            List<Object> read = Arrays.asList(
                    request.key(),
                    request.revision(),
                    request.name(),
                    request.machineType(),
                    request.zone(),
                    request.isSpot(),
                    request.machineCount(),
                    request.isAnswered(),
                    request.machines(),
                    request.machines().stream().filter(request::isStoredAsUp).toList());
            return values(read) + "\n" + change(request);
        });
    }

    @Test
    void writesSentAnsweredSplitAndDiscardedRequests() {
        StringBuilder text = new StringBuilder();
        ScaleOutRequest request = new ScaleOutRequest("hopper-1.3.8", "g8", "a", true, 3);
        text.append(change(request)).append('\n');
        request.recordAnswer(List.of("host-000001", "host-\"2\"", "host-000003"));
        request.markUp("host-000003");
        text.append(change(request)).append('\n');
        request.split(2, part -> {}).forEach(part -> text.append(change(part)).append('\n'));
        text.append(change(request)).append('\n');
        request.discard();
        text.append(change(request)).append('\n');
        GoldenSamples.assertMatches("rental-writes.txt", text.toString());
    }
}
