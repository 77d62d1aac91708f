package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.pipeline.PriorityClass;
import io.sillreel.placement.PriorityBand.Timeliness;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class PriorityBandTest {
    @ParameterizedTest
    @EnumSource(PriorityClass.class)
    void mapsPriorityClassAndTimelinessToBandOfSameName(PriorityClass priorityClass) {
        for (Timeliness timeliness : Timeliness.values()) {
            assertThat(PriorityBand.of(priorityClass, timeliness)).hasToString(priorityClass + "_" + timeliness);
        }
    }

    @ParameterizedTest
    @EnumSource(PriorityClass.class)
    void agedBandPrecedesUrgentBandOfEveryPriorityClass(PriorityClass priorityClass) {
        assertThat(PriorityBand.AGED.isAtOrBefore(PriorityBand.of(priorityClass, Timeliness.URGENT)))
                .isTrue();
    }

    @ParameterizedTest
    @CsvSource({"-1,LATE", "0,URGENT", "14999999,URGENT", "15000000,ON_TIME"})
    void classifiesTimelinessBySlack(long slackMicros, Timeliness timeliness) {
        assertThat(Timeliness.ofSlack(slackMicros)).isEqualTo(timeliness);
    }
}
