package io.sillreel.recovery;

import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.recovery.RecoveryMessages.Greeting;
import io.sillreel.settings.Settings.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Tells the other controllers how this one sees the state service, and hears how they do. */
final class PeerExchange {
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpClient caller;
    private final List<Member> members;
    private final Supplier<Greeting> own;
    private final Consumer<Greeting> heard;

    PeerExchange(HttpClient caller, List<Member> members, Supplier<Greeting> own, Consumer<Greeting> heard) {
        this.caller = caller;
        this.members = members;
        this.own = own;
        this.heard = heard;
    }

    /** Completes once each of them has answered or does not. */
    CompletableFuture<Void> greetAll() {
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (Member member : members) {
            HttpRequest call =
                    new HttpRequest("POST", RecoveryMessages.GREETING, own.get().bytes());
            answers.add(caller.call(member.address(), call, TIMEOUT_MICROS).thenAccept(reply -> {
                if (reply.ok()) {
                    heard.accept(Greeting.of(reply.body()));
                }
            }));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
    }
}
