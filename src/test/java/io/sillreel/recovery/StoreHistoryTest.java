package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.recovery.StoreHistory.Consistency;
import io.sillreel.recovery.StoreHistory.RequestMark;
import org.junit.jupiter.api.Test;

class StoreHistoryTest {
    private final StoreHistory history = new StoreHistory();

    @Test
    void anAnswerBelowWhatWasKnownWhenItWasAskedForShowsALoss() {
        history.observeRevision(history.mark(7), 100);
        assertThat(history.observeRevision(history.mark(7), 99)).isEqualTo(Consistency.LOST);
    }

    /** Guards against a false alarm: answers overtake each other, and some take seconds. */
    @Test
    void anAnswerThatIsOnlyLateShowsNothing() {
        RequestMark early = history.mark(7);
        history.observeRevision(history.mark(7), 100);
        assertThat(history.observeRevision(early, 90)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.observeRevision(history.mark(7), 100)).isEqualTo(Consistency.CONSISTENT);
    }

    /** Guards against a loss of few writes that others make up for at once: each write counts on. */
    @Test
    void aWriteThatDoesNotCountOnShowsALoss() {
        history.observeCommit(history.mark(7), 100);
        assertThat(history.observeRevision(history.mark(7), 100)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.observeCommit(history.mark(7), 100)).isEqualTo(Consistency.LOST);
    }

    @Test
    void whatAnotherControllerKnowsCountsFromThenOn() {
        RequestMark before = history.mark(7);
        history.learn(200);
        assertThat(history.observeRevision(before, 150)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.observeRevision(history.mark(7), 150)).isEqualTo(Consistency.LOST);
    }

    @Test
    void whatWasAskedForBeforeALossSaysNothingAfterIt() {
        history.observeRevision(history.mark(7), 100);
        RequestMark before = history.mark(7);
        assertThat(history.observeRevision(history.mark(7), 40)).isEqualTo(Consistency.LOST);
        history.beginLossEpoch(false);
        assertThat(history.observeRevision(before, 120)).isEqualTo(Consistency.OUTDATED);
        assertThat(history.observeRevision(history.mark(7), 45)).isEqualTo(Consistency.CONSISTENT);
        assertThat(history.returnedAt()).isEqualTo(40);
        assertThat(history.highWatermarks()).isEqualTo(new HighWatermarks(100, 100, 0));
    }

    /** Guards against a memory that began after the loss: only who has seen a later revision was there before. */
    @Test
    void whoHasSeenALaterRevisionKnewTheServiceBeforeTheLoss() {
        history.observeRevision(history.mark(5_000), 100);
        history.observeRevision(history.mark(6_000), 100);
        history.beginLossEpoch(false);
        assertThat(history.seenBeforeLossMicros()).isZero();
        history.observeRevision(history.mark(7_000), 60);
        assertThat(history.seenBeforeLossMicros()).isEqualTo(6_000);
        StoreHistory fresh = new StoreHistory();
        fresh.observeRevision(fresh.mark(7_000), 60);
        fresh.beginLossEpoch(false);
        fresh.observeRevision(fresh.mark(8_000), 61);
        assertThat(fresh.seenBeforeLossMicros()).isZero();
    }

    /** Guards a second loss while the first is made good: only the first one's changes have to be known again. */
    @Test
    void aSecondLossRaisesOnlyThePeakOfTheStamps() {
        history.observeRevision(history.mark(7), 100);
        history.beginLossEpoch(false);
        history.observeRevision(history.mark(7), 130);
        history.beginLossEpoch(true);
        history.observeRevision(history.mark(7), 50);
        assertThat(history.highWatermarks()).isEqualTo(new HighWatermarks(100, 130, 0));
    }
}
