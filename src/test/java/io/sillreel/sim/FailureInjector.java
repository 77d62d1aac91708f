package io.sillreel.sim;

import io.sillreel.http.HttpRequest;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Random;

/** Troubles of the network between hosts, as rules. */
public final class FailureInjector {
    private static final String CONTROLLERS = "10.0.0.";
    private static final String STATE = "state";

    private FailureInjector() {}

    public static String host(int node) {
        return CONTROLLERS + node;
    }

    /** The machine's reports arrive, but neither answers nor commands reach it. */
    public static Rule unresponsive(String machine) {
        return (from, to, request) ->
                from.equals(machine) ? Fate.LOSE_ANSWER : to.startsWith(machine) ? Fate.LOSE : null;
    }

    /** The machines reach no controller, while direct commands reach them. */
    public static Rule mute(Collection<String> machines) {
        return (from, to, request) -> machines.contains(from) ? Fate.LOSE : null;
    }

    /** Nothing gets to the machines or away from them. */
    public static Rule away(Collection<String> machines, Fate fate) {
        return (from, to, request) ->
                machines.contains(from) || machines.stream().anyMatch(to::startsWith) ? fate : null;
    }

    /** The state service refuses this controller alone. */
    public static Rule refused(int node) {
        return (from, to, request) -> from.equals(host(node)) && to.startsWith(STATE) ? Fate.REFUSE : null;
    }

    /**
     * The controller and the workers hear each other, but the state service and the other controllers don't hear it.
     */
    public static Rule isolated(int node) {
        String host = host(node);
        return (from, to, request) -> from.equals(host) && (to.startsWith(CONTROLLERS) || to.startsWith(STATE))
                        || to.startsWith(host) && from.startsWith(CONTROLLERS)
                ? Fate.LOSE
                : null;
    }

    /** That part of the transactions that match gets no answer; they are carried out late, or at once. */
    public static Rule writes(String with, Fate fate, double share, Random random) {
        return (from, to, request) -> to.startsWith(STATE)
                        && request.route().equals("/txn")
                        && text(request).contains(with)
                        && random.nextDouble() < share
                ? fate
                : null;
    }

    /** That becomes of this part of the workers' reports. */
    public static Rule reports(Fate fate, double share, Random random) {
        return (from, to, request) ->
                request.route().equals("/agent/beat") && random.nextDouble() < share ? fate : null;
    }

    /** That becomes of direct commands. */
    public static Rule commands(Fate fate) {
        return (from, to, request) -> request.route().equals("/do") ? fate : null;
    }

    private static String text(HttpRequest request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }
}
