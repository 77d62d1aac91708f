package io.sillreel.recovery;

import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.recovery.RecoveryMessages.PeerStatus;
import io.sillreel.settings.Settings.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Tells the other controllers how this one sees the state service, and hears how they do. */
final class PeerExchange {
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpClient httpClient;
    private final List<Member> members;
    private final Supplier<PeerStatus> own;
    private final Consumer<PeerStatus> heard;

    PeerExchange(HttpClient httpClient, List<Member> members, Supplier<PeerStatus> own, Consumer<PeerStatus> heard) {
        this.httpClient = httpClient;
        this.members = members;
        this.own = own;
        this.heard = heard;
    }

    /** Completes once each of them has answered or does not. */
    CompletableFuture<Void> exchangeWithAll() {
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (Member member : members) {
            HttpRequest request =
                    new HttpRequest("POST", RecoveryMessages.GREETING, own.get().bytes());
            answers.add(httpClient
                    .send(member.address(), request, TIMEOUT_MICROS)
                    .thenAccept(response -> {
                        if (response.isOk()) {
                            heard.accept(PeerStatus.of(response.body()));
                        }
                    }));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
    }
}
