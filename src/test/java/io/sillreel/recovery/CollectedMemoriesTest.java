package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.Json;
import io.sillreel.recovery.ChangeLog.Memory;
import io.sillreel.recovery.RecoveryMessages.Page;
import java.util.List;
import org.junit.jupiter.api.Test;

class CollectedMemoriesTest {
    private static final List<String> MEMBERS = List.of("a", "b");

    private final CollectedMemories memories = new CollectedMemories();

    private static RecentChange change(String key, long revision) {
        return RecentChange.of(key, Json.object().put("at", revision), revision);
    }

    private static Memory memory(long from, long to, List<Long> own, RecentChange... changes) {
        return new Memory(List.of(changes), from, to, own, 1_000, 5_000);
    }

    private static HighWatermarks reached(long storeRevision) {
        return HighWatermarks.NONE.withStoreRevision(storeRevision);
    }

    @Test
    void whatAllRememberWithoutAGapIsComplete() {
        memories.add("a", memory(11, 18, List.of(), change("plan/1", 12), change("plan/2", 18)));
        memories.add("b", memory(11, 16, List.of(19L, 20L), change("plan/2", 15), change("plan/3", 20)));
        assertThat(memories.findGap(MEMBERS, 12, reached(20), 2)).isEmpty();
        assertThat(memories.newestFirst()).extracting(RecentChange::revision).containsExactly(20L, 18L, 12L);
    }

    @Test
    void aRevisionThatNobodyRemembersIsAGap() {
        memories.add("a", memory(11, 18, List.of(20L)));
        memories.add("b", memory(11, 18, List.of()));
        assertThat(memories.findGap(MEMBERS, 12, reached(20), 2))
                .hasValueSatisfying(why -> assertThat(why).contains("19"));
    }

    @Test
    void aControllerThatDoesNotAnswerMayHaveStoredMore() {
        memories.add("a", memory(11, 20, List.of()));
        assertThat(memories.findGap(MEMBERS, 12, reached(20), 2))
                .hasValueSatisfying(why -> assertThat(why).startsWith("b "));
    }

    @Test
    void aControllerThatHasStartedSinceMayHaveStoredMoreBefore() {
        memories.add("a", memory(11, 20, List.of()));
        memories.add("b", memory(21, 20, List.of()));
        assertThat(memories.findGap(MEMBERS, 12, reached(20), 2))
                .hasValueSatisfying(why -> assertThat(why).startsWith("b "));
    }

    /** Guards against taking a memory for long enough that does not reach back to anything that is still stored. */
    @Test
    void whereNothingThatIsRememberedIsLeftMoreMayBeLost() {
        memories.add("a", memory(11, 20, List.of()));
        memories.add("b", memory(11, 20, List.of()));
        assertThat(memories.findGap(MEMBERS, 0, reached(20), 2)).isPresent();
    }

    /** Guards against controllers that have all started since the loss: their revisions are those after it. */
    @Test
    void whatIsRememberedOnlySinceTheLossSaysNothing() {
        memories.add("a", memory(11, 20, List.of()));
        memories.add("b", new Memory(List.of(), 11, 20, List.of(), 4_999, 0));
        assertThat(memories.findGap(MEMBERS, 12, reached(20), 2))
                .hasValueSatisfying(why -> assertThat(why).startsWith("b has begun"));
        CollectedMemories fresh = new CollectedMemories();
        fresh.add("a", new Memory(List.of(), 11, 20, List.of(), 4_000, 0));
        assertThat(fresh.findGap(List.of("a"), 12, reached(20), 2))
                .hasValueSatisfying(why -> assertThat(why).startsWith("nobody"));
    }

    @Test
    void theOldestChangesAreForgottenFirstAndThatIsKnown() {
        ChangeLog log = new ChangeLog(1_000);
        log.restart(10, 1);
        for (long revision = 11; revision <= 40; revision++) {
            log.addFollowed(List.of(change("plan/" + revision, revision)), revision);
        }
        assertThat(log.bytes()).isLessThanOrEqualTo(1_000);
        assertThat(log.memory(0).changes().get(0).revision()).isEqualTo(log.knownFrom());
        assertThat(log.knownFrom()).isGreaterThan(30);
        log.addFollowed(List.of(RecentChange.of("plan/40", null, 41)), 41);
        assertThat(log.revisionOf("plan/40")).isZero();
        assertThat(log.memory(0).changes()).extracting(RecentChange::key).doesNotHaveDuplicates();
    }

    /** Guards against a loss that others' writes have made up for: the revision is there, and means something else. */
    @Test
    void anOwnChangeThatIsNotAmongThoseStoredIsNoticed() {
        ChangeLog log = new ChangeLog(1_000_000);
        log.restart(10, 1);
        log.addStored(List.of(change("plan/1", 12)), 12);
        assertThat(log.addFollowed(List.of(change("run/2", 11)), 11)).isEmpty();
        assertThat(log.addFollowed(List.of(change("plan/3", 12)), 13)).contains("plan/1");
        assertThat(log.addFollowed(List.of(change("plan/1", 12), change("plan/3", 13)), 13))
                .isEmpty();
    }

    @Test
    void pagesArriveAsTheyWereSent() {
        Memory memory = memory(11, 18, List.of(20L, 22L), change("plan/1", 12));
        Page page = Page.of(new Page(memory, new HighWatermarks(7, 8, 9), false).bytes());
        assertThat(page.highWatermarks()).isEqualTo(new HighWatermarks(7, 8, 9));
        assertThat(page.last()).isFalse();
        assertThat(page.memory().ownRevisions()).containsExactly(20L, 22L);
        assertThat(page.memory().changes().get(0).json().path("at").asLong()).isEqualTo(12);
        Memory removal = memory(1, 2, List.of(), RecentChange.of("hire/r", null, 2), change("plan/9", 1));
        assertThat(Page.of(new Page(removal, HighWatermarks.NONE, true).bytes())
                        .memory()
                        .changes())
                .extracting(RecentChange::isRemoval)
                .containsExactly(true, false);
    }
}
