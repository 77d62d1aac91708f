package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.recovery.RevisionTracker.Consistency;
import io.sillreel.recovery.RevisionTracker.RequestBaseline;
import org.junit.jupiter.api.Test;

class RevisionTrackerTest {
    private final RevisionTracker tracker = new RevisionTracker();

    @Test
    void detectsLossIfRevisionIsBelowBaseline() {
        tracker.observeRevision(tracker.baseline(7), 100);
        assertThat(tracker.observeRevision(tracker.baseline(7), 99)).isEqualTo(Consistency.WRITES_LOST);
    }

    /** Guards against a false alarm: answers overtake each other, and some take seconds. */
    @Test
    void acceptsDelayedResponseAboveItsBaseline() {
        RequestBaseline earlierBaseline = tracker.baseline(7);
        tracker.observeRevision(tracker.baseline(7), 100);
        assertThat(tracker.observeRevision(earlierBaseline, 90)).isEqualTo(Consistency.CONSISTENT);
        assertThat(tracker.observeRevision(tracker.baseline(7), 100)).isEqualTo(Consistency.CONSISTENT);
    }

    /** Guards against a loss of few writes that others make up for at once: each write counts on. */
    @Test
    void detectsLossIfCommitDoesNotRaiseRevision() {
        tracker.observeCommit(tracker.baseline(7), 100);
        assertThat(tracker.observeRevision(tracker.baseline(7), 100)).isEqualTo(Consistency.CONSISTENT);
        assertThat(tracker.observeCommit(tracker.baseline(7), 100)).isEqualTo(Consistency.WRITES_LOST);
    }

    @Test
    void appliesRevisionOfPeerToLaterRequests() {
        RequestBaseline earlierBaseline = tracker.baseline(7);
        tracker.raiseTo(200);
        assertThat(tracker.observeRevision(earlierBaseline, 150)).isEqualTo(Consistency.CONSISTENT);
        assertThat(tracker.observeRevision(tracker.baseline(7), 150)).isEqualTo(Consistency.WRITES_LOST);
    }

    @Test
    void ignoresResponsesToRequestsOfEarlierLossEpoch() {
        tracker.observeRevision(tracker.baseline(7), 100);
        RequestBaseline beforeLoss = tracker.baseline(7);
        assertThat(tracker.observeRevision(tracker.baseline(7), 40)).isEqualTo(Consistency.WRITES_LOST);
        tracker.beginLossEpoch(false);
        assertThat(tracker.observeRevision(beforeLoss, 120)).isEqualTo(Consistency.OUTDATED);
        assertThat(tracker.observeRevision(tracker.baseline(7), 45)).isEqualTo(Consistency.CONSISTENT);
        assertThat(tracker.firstRevisionAfterLoss()).isEqualTo(40);
        assertThat(tracker.highWatermarks()).isEqualTo(new HighWatermarks(100, 100, 0));
    }

    /** Guards against a memory that began after the loss: only who has seen a later revision was there before. */
    @Test
    void knowsWhetherStoreWasObservedBeforeLoss() {
        tracker.observeRevision(tracker.baseline(5_000), 100);
        tracker.observeRevision(tracker.baseline(6_000), 100);
        tracker.beginLossEpoch(false);
        assertThat(tracker.observedBeforeLossMicros()).isZero();
        tracker.observeRevision(tracker.baseline(7_000), 60);
        assertThat(tracker.observedBeforeLossMicros()).isEqualTo(6_000);
        RevisionTracker fresh = new RevisionTracker();
        fresh.observeRevision(fresh.baseline(7_000), 60);
        fresh.beginLossEpoch(false);
        fresh.observeRevision(fresh.baseline(8_000), 61);
        assertThat(fresh.observedBeforeLossMicros()).isZero();
    }

    /** Guards a second loss while the first is made good: only the first one's changes have to be known again. */
    @Test
    void secondLossRaisesOnlyKeyRevisionWatermark() {
        tracker.observeRevision(tracker.baseline(7), 100);
        tracker.beginLossEpoch(false);
        tracker.observeRevision(tracker.baseline(7), 130);
        tracker.beginLossEpoch(true);
        tracker.observeRevision(tracker.baseline(7), 50);
        assertThat(tracker.highWatermarks()).isEqualTo(new HighWatermarks(100, 130, 0));
    }
}
