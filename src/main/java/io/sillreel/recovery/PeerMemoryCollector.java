package io.sillreel.recovery;

import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.recovery.RecoveryMessages.Page;
import io.sillreel.settings.Settings.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Asks the other controllers for what they remember; who answers stores nothing more until the loss is made good. */
final class PeerMemoryCollector {
    private static final long TIMEOUT_MICROS = 3_000_000;

    private final HttpClient httpClient;
    private final StoreHistory history;
    private final CollectedMemories memories;

    PeerMemoryCollector(HttpClient httpClient, StoreHistory history, CollectedMemories memories) {
        this.httpClient = httpClient;
        this.history = history;
        this.memories = memories;
    }

    /** Asks those that have not answered yet; completes once each has done so or does not. */
    CompletableFuture<Void> collect(List<Member> members, long generation) {
        Set<String> heard = memories.nodes();
        List<CompletableFuture<Void>> asked = new ArrayList<>();
        for (Member member : members) {
            if (!heard.contains(member.nodeName())) {
                CompletableFuture<Void> done = new CompletableFuture<>();
                ask(member, generation, new ArrayList<>(), done);
                asked.add(done);
            }
        }
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new));
    }

    private void ask(Member member, long generation, List<RecentChange> changes, CompletableFuture<Void> done) {
        HttpRequest request = new HttpRequest(
                "POST",
                RecoveryMessages.CHANGES + "?from=" + changes.size() + "&generation=" + generation,
                HttpRequest.NO_BODY);
        httpClient.send(member.address(), request, TIMEOUT_MICROS).thenAccept(response -> {
            if (!response.isOk()) {
                done.complete(null);
                return;
            }
            Page page = Page.of(response.body());
            history.learn(page.highWatermarks());
            changes.addAll(page.memory().changes());
            if (!page.last()) {
                ask(member, generation, changes, done);
                return;
            }
            memories.add(member.nodeName(), page.memory().with(changes));
            done.complete(null);
        });
    }
}
