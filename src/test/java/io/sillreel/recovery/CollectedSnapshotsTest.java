package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.Json;
import io.sillreel.recovery.ChangeLog.Snapshot;
import io.sillreel.recovery.RecoveryMessages.Page;
import java.util.List;
import org.junit.jupiter.api.Test;

class CollectedSnapshotsTest {
    private static final List<String> MEMBERS = List.of("a", "b");

    private final CollectedSnapshots snapshots = new CollectedSnapshots();

    private static RecentChange change(String key, long revision) {
        return RecentChange.of(key, Json.object().put("at", revision), revision);
    }

    private static Snapshot snapshot(long from, long to, List<Long> ownRevisions, RecentChange... changes) {
        return new Snapshot(List.of(changes), from, to, ownRevisions, 1_000, 5_000);
    }

    private static HighWatermarks highWatermarks(long storeRevision) {
        return HighWatermarks.NONE.withStoreRevision(storeRevision);
    }

    @Test
    void findsNoGapIfSnapshotsCoverAllRevisions() {
        snapshots.add("a", snapshot(11, 18, List.of(), change("plan/1", 12), change("plan/2", 18)));
        snapshots.add("b", snapshot(11, 16, List.of(19L, 20L), change("plan/2", 15), change("plan/3", 20)));
        assertThat(snapshots.findGap(MEMBERS, 12, highWatermarks(20), 2)).isEmpty();
        assertThat(snapshots.newestFirst()).extracting(RecentChange::revision).containsExactly(20L, 18L, 12L);
    }

    @Test
    void reportsRevisionThatNoSnapshotCovers() {
        snapshots.add("a", snapshot(11, 18, List.of(20L)));
        snapshots.add("b", snapshot(11, 18, List.of()));
        assertThat(snapshots.findGap(MEMBERS, 12, highWatermarks(20), 2))
                .hasValueSatisfying(reason -> assertThat(reason).contains("19"));
    }

    @Test
    void reportsMemberWithoutSnapshot() {
        snapshots.add("a", snapshot(11, 20, List.of()));
        assertThat(snapshots.findGap(MEMBERS, 12, highWatermarks(20), 2))
                .hasValueSatisfying(reason -> assertThat(reason).startsWith("b "));
    }

    @Test
    void reportsMemberWhoseLogStartsAfterKeptRevision() {
        snapshots.add("a", snapshot(11, 20, List.of()));
        snapshots.add("b", snapshot(21, 20, List.of()));
        assertThat(snapshots.findGap(MEMBERS, 12, highWatermarks(20), 2))
                .hasValueSatisfying(reason -> assertThat(reason).startsWith("b "));
    }

    /** Guards against trusting change logs that do not reach back to any write that is still stored. */
    @Test
    void reportsGapIfNoKeptRevisionIsKnown() {
        snapshots.add("a", snapshot(11, 20, List.of()));
        snapshots.add("b", snapshot(11, 20, List.of()));
        assertThat(snapshots.findGap(MEMBERS, 0, highWatermarks(20), 2)).isPresent();
    }

    /** Guards against controllers that have all started since the loss: their revisions were reached after it. */
    @Test
    void reportsMembersThatStartedAfterLoss() {
        snapshots.add("a", snapshot(11, 20, List.of()));
        snapshots.add("b", new Snapshot(List.of(), 11, 20, List.of(), 4_999, 0));
        assertThat(snapshots.findGap(MEMBERS, 12, highWatermarks(20), 2))
                .hasValueSatisfying(reason -> assertThat(reason).startsWith("b has begun"));
        CollectedSnapshots onlyRestarted = new CollectedSnapshots();
        onlyRestarted.add("a", new Snapshot(List.of(), 11, 20, List.of(), 4_000, 0));
        assertThat(onlyRestarted.findGap(List.of("a"), 12, highWatermarks(20), 2))
                .hasValueSatisfying(reason -> assertThat(reason).startsWith("nobody"));
    }

    @Test
    void changeLogEvictsOldestChangesAndRaisesCompleteFrom() {
        ChangeLog log = new ChangeLog(1_000);
        log.reset(10, 1);
        for (long revision = 11; revision <= 40; revision++) {
            log.addWatched(List.of(change("plan/" + revision, revision)), revision);
        }
        assertThat(log.sizeBytes()).isLessThanOrEqualTo(1_000);
        assertThat(log.snapshot(0).changes().get(0).revision()).isEqualTo(log.completeFrom());
        assertThat(log.completeFrom()).isGreaterThan(30);
        log.addWatched(List.of(RecentChange.of("plan/40", null, 41)), 41);
        assertThat(log.revisionOf("plan/40")).isZero();
        assertThat(log.snapshot(0).changes()).extracting(RecentChange::key).doesNotHaveDuplicates();
    }

    /** Guards against a loss after which writes of other controllers have used the same revision for another change. */
    @Test
    void changeLogDetectsOwnCommitMissingFromWatch() {
        ChangeLog log = new ChangeLog(1_000_000);
        log.reset(10, 1);
        log.addCommitted(List.of(change("plan/1", 12)), 12);
        assertThat(log.addWatched(List.of(change("run/2", 11)), 11)).isEmpty();
        assertThat(log.addWatched(List.of(change("plan/3", 12)), 13)).contains("plan/1");
        assertThat(log.addWatched(List.of(change("plan/1", 12), change("plan/3", 13)), 13))
                .isEmpty();
    }

    @Test
    void pagesSurviveEncodingAndDecoding() {
        Snapshot snapshot = snapshot(11, 18, List.of(20L, 22L), change("plan/1", 12));
        Page page = Page.decode(new Page(snapshot, new HighWatermarks(7, 8, 9), false).encode());
        assertThat(page.highWatermarks()).isEqualTo(new HighWatermarks(7, 8, 9));
        assertThat(page.last()).isFalse();
        assertThat(page.snapshot().ownRevisions()).containsExactly(20L, 22L);
        assertThat(page.snapshot().changes().get(0).jsonValue().path("at").asLong())
                .isEqualTo(12);
        Snapshot removal = snapshot(1, 2, List.of(), RecentChange.of("hire/r", null, 2), change("plan/9", 1));
        assertThat(Page.decode(new Page(removal, HighWatermarks.NONE, true).encode())
                        .snapshot()
                        .changes())
                .extracting(RecentChange::isRemoval)
                .containsExactly(true, false);
    }
}
