package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.recovery.StoreHistory.Consistency;
import io.sillreel.recovery.StoreHistory.Mark;
import org.junit.jupiter.api.Test;

class StoreHistoryTest {
    private final StoreHistory history = new StoreHistory();

    @Test
    void anAnswerBelowWhatWasKnownWhenItWasAskedForShowsALoss() {
        history.answered(history.mark(7), 100);
        assertThat(history.answered(history.mark(7), 99)).isEqualTo(Consistency.LOST);
    }

    /** Guards against a false alarm: answers overtake each other, and some take seconds. */
    @Test
    void anAnswerThatIsOnlyLateShowsNothing() {
        Mark early = history.mark(7);
        history.answered(history.mark(7), 100);
        assertThat(history.answered(early, 90)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.answered(history.mark(7), 100)).isEqualTo(Consistency.CONSISTENT);
    }

    /** Guards against a loss of few writes that others make up for at once: each write counts on. */
    @Test
    void aWriteThatDoesNotCountOnShowsALoss() {
        history.committed(history.mark(7), 100);
        assertThat(history.answered(history.mark(7), 100)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.committed(history.mark(7), 100)).isEqualTo(Consistency.LOST);
    }

    @Test
    void whatAnotherControllerKnowsCountsFromThenOn() {
        Mark before = history.mark(7);
        history.learn(200);
        assertThat(history.answered(before, 150)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.answered(history.mark(7), 150)).isEqualTo(Consistency.LOST);
    }

    @Test
    void whatWasAskedForBeforeALossSaysNothingAfterIt() {
        history.answered(history.mark(7), 100);
        Mark before = history.mark(7);
        assertThat(history.answered(history.mark(7), 40)).isEqualTo(Consistency.LOST);
        history.beginEra(false);
        assertThat(history.answered(before, 120)).isEqualTo(Consistency.OUTDATED);
        assertThat(history.answered(history.mark(7), 45)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.returnedAt()).isEqualTo(40);
        assertThat(history.peaks()).isEqualTo(new HighWatermarks(100, 100, 0));
    }

    /** Guards against a memory that began after the loss: only who has seen a later revision was there before. */
    @Test
    void whoHasSeenALaterRevisionKnewTheServiceBeforeTheLoss() {
        history.answered(history.mark(5_000), 100);
        history.answered(history.mark(6_000), 100);
        history.beginEra(false);
        assertThat(history.seenBeforeLossMicros()).isZero();
        history.answered(history.mark(7_000), 60);
        assertThat(history.seenBeforeLossMicros()).isEqualTo(6_000);
        StoreHistory fresh = new StoreHistory();
        fresh.answered(fresh.mark(7_000), 60);
        fresh.beginEra(false);
        fresh.answered(fresh.mark(8_000), 61);
        assertThat(fresh.seenBeforeLossMicros()).isZero();
    }

    /** Guards a second loss while the first is made good: only the first one's changes have to be known again. */
    @Test
    void aSecondLossRaisesOnlyThePeakOfTheStamps() {
        history.answered(history.mark(7), 100);
        history.beginEra(false);
        history.answered(history.mark(7), 130);
        history.beginEra(true);
        history.answered(history.mark(7), 50);
        assertThat(history.peaks()).isEqualTo(new HighWatermarks(100, 130, 0));
    }
}
