package io.sillreel.fleet;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The stored form of rentals. */
class RentalSamplesTest {
    @Test
    void readsAndWritesRentals() throws Exception {
        GoldenSamples.assertConverts("rentals.txt", input -> {
            Rental rental = Rental.of(Rental.PREFIX + "hopper-1.3.7", json(input), 1_000_000_000_001L);
            List<Object> read = Arrays.asList(
                    rental.key(),
                    rental.stamp(),
                    rental.name(),
                    rental.build(),
                    rental.zone(),
                    rental.spot(),
                    rental.count(),
                    rental.answered(),
                    rental.machines(),
                    rental.machines().stream().filter(rental::mayHold).toList());
            return values(read) + "\n" + values(rental.changes());
        });
    }

    @Test
    void writesRentalsAsTheyAreAskedForAnsweredSplitAndDropped() {
        StringBuilder text = new StringBuilder();
        Rental rental = new Rental("hopper-1.3.8", "g8", "a", true, 3);
        text.append(values(rental.changes())).append('\n');
        rental.answered(List.of("host-000001", "host-\"2\"", "host-000003"));
        rental.cameUp("host-000003");
        text.append(values(rental.changes())).append('\n');
        rental.split(2, part -> {})
                .forEach(part -> text.append(values(part.changes())).append('\n'));
        text.append(values(rental.changes())).append('\n');
        rental.drop();
        text.append(values(rental.changes())).append('\n');
        GoldenSamples.assertMatches("rental-writes.txt", text.toString());
    }
}
