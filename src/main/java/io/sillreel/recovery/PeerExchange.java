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

/** Exchanges with the other controllers what each of them knows about the state service. */
final class PeerExchange {
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpClient httpClient;
    private final List<Member> members;
    private final Supplier<PeerStatus> ownStatus;
    private final Consumer<PeerStatus> onPeerStatus;

    PeerExchange(
            HttpClient httpClient,
            List<Member> members,
            Supplier<PeerStatus> ownStatus,
            Consumer<PeerStatus> onPeerStatus) {
        this.httpClient = httpClient;
        this.members = members;
        this.ownStatus = ownStatus;
        this.onPeerStatus = onPeerStatus;
    }

    /** Completes once each controller has responded or its request has failed or timed out. */
    CompletableFuture<Void> exchangeWithAll() {
        List<CompletableFuture<Void>> exchanges = new ArrayList<>();
        for (Member member : members) {
            HttpRequest request = new HttpRequest(
                    "POST", RecoveryMessages.STATUS_ROUTE, ownStatus.get().encode());
            exchanges.add(httpClient
                    .send(member.address(), request, TIMEOUT_MICROS)
                    .thenAccept(response -> {
                        if (response.isOk()) {
                            onPeerStatus.accept(PeerStatus.decode(response.body()));
                        }
                    }));
        }
        return CompletableFuture.allOf(exchanges.toArray(CompletableFuture[]::new));
    }
}
