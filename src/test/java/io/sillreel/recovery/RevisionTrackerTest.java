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

    /** Guards against false positives: responses overtake each other, and some take seconds. */
    @Test
    void acceptsDelayedResponseAboveItsBaseline() {
        RequestBaseline earlierBaseline = tracker.baseline(7);
        tracker.observeRevision(tracker.baseline(7), 100);
        assertThat(tracker.observeRevision(earlierBaseline, 90)).isEqualTo(Consistency.CONSISTENT);
        assertThat(tracker.observeRevision(tracker.baseline(7), 100)).isEqualTo(Consistency.CONSISTENT);
    }

    /** Guards against a small loss that other writes make up for at once: each commit must raise the revision. */
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

    /**
     * Guards against change logs that began after the loss: only a controller that has observed a higher revision than
     * the one after the loss observed the service before it.
     */
    @Test
    void knowsWhetherStoreWasObservedBeforeLoss() {
        tracker.observeRevision(tracker.baseline(5_000), 100);
        tracker.observeRevision(tracker.baseline(6_000), 100);
        tracker.beginLossEpoch(false);
        assertThat(tracker.observedBeforeLossMicros()).isZero();
        tracker.observeRevision(tracker.baseline(7_000), 60);
        assertThat(tracker.observedBeforeLossMicros()).isEqualTo(6_000);
        RevisionTracker startedAfterLoss = new RevisionTracker();
        startedAfterLoss.observeRevision(startedAfterLoss.baseline(7_000), 60);
        startedAfterLoss.beginLossEpoch(false);
        startedAfterLoss.observeRevision(startedAfterLoss.baseline(8_000), 61);
        assertThat(startedAfterLoss.observedBeforeLossMicros()).isZero();
    }

    /** Guards a second loss during recovery from the first: only changes before the first one have to be collected. */
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
