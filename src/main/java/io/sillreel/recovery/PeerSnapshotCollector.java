package io.sillreel.recovery;

import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.recovery.RecoveryMessages.Page;
import io.sillreel.settings.Settings.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Collects the change logs of the other controllers. Each one that responds stays suspended until the loss is repaired.
 */
final class PeerSnapshotCollector {
    private static final long TIMEOUT_MICROS = 3_000_000;

    private final HttpClient httpClient;
    private final RevisionTracker revisions;
    private final CollectedSnapshots snapshots;

    PeerSnapshotCollector(HttpClient httpClient, RevisionTracker revisions, CollectedSnapshots snapshots) {
        this.httpClient = httpClient;
        this.revisions = revisions;
        this.snapshots = snapshots;
    }

    /**
     * Requests the change logs that have not been collected yet; completes once each controller has responded or its
     * request has failed or timed out.
     */
    CompletableFuture<Void> collect(List<Member> members, long generation) {
        Set<String> collected = snapshots.nodes();
        List<CompletableFuture<Void>> requests = new ArrayList<>();
        for (Member member : members) {
            if (!collected.contains(member.nodeName())) {
                CompletableFuture<Void> done = new CompletableFuture<>();
                fetchPage(member, generation, new ArrayList<>(), done);
                requests.add(done);
            }
        }
        return CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new));
    }

    private void fetchPage(Member member, long generation, List<RecentChange> changes, CompletableFuture<Void> done) {
        HttpRequest request = new HttpRequest(
                "POST",
                RecoveryMessages.CHANGES_ROUTE + "?from=" + changes.size() + "&generation=" + generation,
                HttpRequest.NO_BODY);
        httpClient.send(member.address(), request, TIMEOUT_MICROS).thenAccept(response -> {
            if (!response.isOk()) {
                done.complete(null);
                return;
            }
            Page page = Page.decode(response.body());
            revisions.raiseTo(page.highWatermarks());
            changes.addAll(page.snapshot().changes());
            if (!page.last()) {
                fetchPage(member, generation, changes, done);
                return;
            }
            snapshots.add(member.nodeName(), page.snapshot().withChanges(changes));
            done.complete(null);
        });
    }
}
