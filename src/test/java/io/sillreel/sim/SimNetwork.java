package io.sillreel.sim;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.overload.RateLimiter;
import io.sillreel.statestore.StateStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** The network between the hosts of a world: delays, silent cuts that lose or hold messages, and lost answers. */
public final class SimNetwork {
    /** Decides what becomes of one message; the first rule that says something counts. */
    public interface Rule {
        /** Null for nothing to say. */
        Action actionFor(String from, String to, HttpRequest request);
    }

    /**
     * LOSE: never arrives. LOSE_ANSWER: is carried out, the answer never arrives. LATE: the same, but carried out 2 to
     * 12 s later, after newer ones. SLOW_ANSWER: is carried out, and the answer takes up to a second. HOLD: arrives
     * when released. COPY: arrives, and a copy of it once more, seconds to most of a minute later. KEEP: arrives, and a
     * copy is kept until the kept ones are let go. REFUSE: answered 503 at once and not carried out; a watch is left
     * open.
     */
    public enum Action {
        DELIVER,
        DROP,
        DROP_RESPONSE,
        DELAY_AND_DROP_RESPONSE,
        DELAY_RESPONSE,
        HOLD,
        DUPLICATE,
        RECORD,
        REJECT
    }

    private static final int LATEST_COPY_MICROS = 40_000_000;
    private static final int LATEST_CARRIED_OUT_MICROS = 12_000_000;
    private static final int MAX_KEPT = 2_000;
    private static final int WAVES = 5;

    private final SimTime time;
    private final Random random;
    private final Map<String, HttpHandler> handlers = new HashMap<>();
    private final List<Rule> rules = new ArrayList<>();
    private final List<Runnable> held = new ArrayList<>();
    private final Deque<HttpRequest> kept = new ArrayDeque<>();
    private long latencyFactor = 1;

    public SimNetwork(SimTime time, long seed) {
        this.time = time;
        this.random = new Random(seed);
    }

    /** A client of the state service for one process, with its parts of the rates of requests and of changes. */
    public StateStore newStateStoreClient(SimTime.Process process, double requests, double writes) {
        return new StateStore(
                clientOf("node", process),
                clientOf("node", process),
                process,
                "state:1",
                new RateLimiter(process, requests, requests),
                new RateLimiter(process, writes, writes));
    }

    public void listen(String host, HttpHandler handler) {
        handlers.put(host, handler);
    }

    public boolean isListening(String host) {
        return handlers.containsKey(host);
    }

    public void stopListening(String host) {
        handlers.remove(host);
    }

    public Rule addRule(Rule rule) {
        rules.add(rule);
        return rule;
    }

    public void removeRule(Rule rule) {
        rules.remove(rule);
    }

    /** Lets everything through that was held back. */
    public void releaseHeld() {
        List<Runnable> late = new ArrayList<>(held);
        held.clear();
        late.forEach(delivery -> time.after(delay(), delivery));
    }

    /** Links take so many times as long. */
    public void setLatencyFactor(long times) {
        latencyFactor = times;
    }

    /**
     * Delivers the kept copies to each of the hosts, in their old order, in some waves within a second; then forgets
     * them.
     */
    public void replayRecorded(List<String> hosts) {
        SimTime.Process nobody = time.new Process();
        for (long wave = 0; wave < WAVES; wave++) {
            long at = wave * 250_000;
            for (HttpRequest request : kept) {
                for (String host : hosts) {
                    time.after(at++, () -> deliver(host, request, new CompletableFuture<>(), nobody));
                }
            }
        }
        kept.clear();
    }

    /** Returns the network as that host and process see it. */
    public HttpClient clientOf(String host, SimTime.Process process) {
        return (to, request, timeoutMicros) -> {
            CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
            EventLoop.Timer timer = process.schedule(timeoutMicros, () -> answer.complete(HttpResponse.noResponse()));
            answer.thenRun(timer::cancel);
            Action action = Action.DELIVER;
            for (Rule rule : rules) {
                Action said = rule.actionFor(host, to, request);
                if (said != null) {
                    action = said;
                    break;
                }
            }
            boolean answered = action == Action.DELIVER
                    || action == Action.DUPLICATE
                    || action == Action.RECORD
                    || action == Action.DELAY_RESPONSE;
            if (action == Action.DELAY_RESPONSE) {
                CompletableFuture<HttpResponse> slow = new CompletableFuture<>();
                slow.thenAccept(result -> process.schedule(random.nextInt(1_000_000), () -> answer.complete(result)));
                time.after(delay(), () -> deliver(to, request, slow, process));
                return answer;
            }
            if (action == Action.REJECT) {
                if (!request.route().equals("/watch")) {
                    process.schedule(delay(), () -> answer.complete(HttpResponse.error(503, "trouble")));
                }
                return answer;
            }
            if (action == Action.DUPLICATE) {
                time.after(
                        1_000_000 + random.nextInt(LATEST_COPY_MICROS),
                        () -> deliver(to, request, new CompletableFuture<>(), process));
            } else if (action == Action.RECORD) {
                kept.add(request);
                if (kept.size() > MAX_KEPT) {
                    kept.poll();
                }
            }
            Runnable delivery = () -> deliver(to, request, answered ? answer : new CompletableFuture<>(), process);
            if (action == Action.HOLD) {
                held.add(delivery);
            } else if (action == Action.DELAY_AND_DROP_RESPONSE) {
                time.after(2_000_000 + random.nextInt(LATEST_CARRIED_OUT_MICROS - 2_000_000), delivery);
            } else if (action != Action.DROP) {
                time.after(delay(), delivery);
            }
            return answer;
        };
    }

    private void deliver(
            String to, HttpRequest request, CompletableFuture<HttpResponse> answer, SimTime.Process caller) {
        HttpHandler handler = handlers.get(to);
        if (handler == null) {
            return;
        }
        handler.handle(request).thenAccept(response -> caller.schedule(delay(), () -> answer.complete(response)));
    }

    private long delay() {
        return latencyFactor * (500 + random.nextInt(3_000));
    }
}
