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

/** A simulated network with random latency, in which rules drop, hold, delay, duplicate or reject messages. */
public final class SimNetwork {
    /** Chooses the action for a message; the first rule that returns an action applies. */
    public interface Rule {
        /** Returns the action, or null if the rule does not apply to the message. */
        Action actionFor(String from, String to, HttpRequest request);
    }

    /**
     * What the network does with a request. DROP: it never arrives. DROP_RESPONSE: it is executed, and the response is
     * dropped. DELAY_AND_DROP_RESPONSE: the same, but it is executed 2 to 12 s later, after newer requests.
     * DELAY_RESPONSE: it is executed, and the response takes up to a second. HOLD: it arrives when held requests are
     * released, and its response is dropped. DUPLICATE: it arrives, and a copy arrives 1 to 41 s later. RECORD: it
     * arrives, and a copy is kept for a replay. REJECT: it is answered with 503 and not executed; a watch stays open.
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

    private static final int MAX_COPY_DELAY_MICROS = 40_000_000;
    private static final int MAX_EXECUTION_DELAY_MICROS = 12_000_000;
    private static final int MAX_RECORDED = 2_000;
    private static final int REPLAY_WAVES = 5;

    private final SimTime time;
    private final Random random;
    private final Map<String, HttpHandler> handlers = new HashMap<>();
    private final List<Rule> rules = new ArrayList<>();
    private final List<Runnable> held = new ArrayList<>();
    private final Deque<HttpRequest> recorded = new ArrayDeque<>();
    private long latencyFactor = 1;

    public SimNetwork(SimTime time, long seed) {
        this.time = time;
        this.random = new Random(seed);
    }

    /** Returns a client of the state service for one process with the given rates of requests and of changes. */
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

    /** Delivers all held requests. */
    public void releaseHeld() {
        List<Runnable> deliveries = new ArrayList<>(held);
        held.clear();
        deliveries.forEach(delivery -> time.after(delay(), delivery));
    }

    /** Multiplies the latency of all messages from now on. */
    public void setLatencyFactor(long factor) {
        latencyFactor = factor;
    }

    /**
     * Replays the recorded requests to each of the hosts, in their original order and several times within about a
     * second, and discards the recording.
     */
    public void replayRecorded(List<String> hosts) {
        SimTime.Process unusedCaller = time.new Process();
        for (long wave = 0; wave < REPLAY_WAVES; wave++) {
            long at = wave * 250_000;
            for (HttpRequest request : recorded) {
                for (String host : hosts) {
                    time.after(at++, () -> deliver(host, request, new CompletableFuture<>(), unusedCaller));
                }
            }
        }
        recorded.clear();
    }

    /** Returns a client that sends from the given host and runs its callbacks in the given process. */
    public HttpClient clientOf(String host, SimTime.Process process) {
        return (to, request, timeoutMicros) -> {
            CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
            EventLoop.Timer timer = process.schedule(timeoutMicros, () -> answer.complete(HttpResponse.noResponse()));
            answer.thenRun(timer::cancel);
            Action action = Action.DELIVER;
            for (Rule rule : rules) {
                Action ruled = rule.actionFor(host, to, request);
                if (ruled != null) {
                    action = ruled;
                    break;
                }
            }
            boolean responds = action == Action.DELIVER
                    || action == Action.DUPLICATE
                    || action == Action.RECORD
                    || action == Action.DELAY_RESPONSE;
            if (action == Action.DELAY_RESPONSE) {
                CompletableFuture<HttpResponse> late = new CompletableFuture<>();
                late.thenAccept(result -> process.schedule(random.nextInt(1_000_000), () -> answer.complete(result)));
                time.after(delay(), () -> deliver(to, request, late, process));
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
                        1_000_000 + random.nextInt(MAX_COPY_DELAY_MICROS),
                        () -> deliver(to, request, new CompletableFuture<>(), process));
            } else if (action == Action.RECORD) {
                recorded.add(request);
                if (recorded.size() > MAX_RECORDED) {
                    recorded.poll();
                }
            }
            Runnable delivery = () -> deliver(to, request, responds ? answer : new CompletableFuture<>(), process);
            if (action == Action.HOLD) {
                held.add(delivery);
            } else if (action == Action.DELAY_AND_DROP_RESPONSE) {
                time.after(2_000_000 + random.nextInt(MAX_EXECUTION_DELAY_MICROS - 2_000_000), delivery);
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
