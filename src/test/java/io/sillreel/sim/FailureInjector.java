package io.sillreel.sim;

import io.sillreel.http.HttpRequest;
import io.sillreel.sim.SimNetwork.Action;
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
    public static Rule dropInbound(String machine) {
        return (from, to, request) ->
                from.equals(machine) ? Action.DROP_RESPONSE : to.startsWith(machine) ? Action.DROP : null;
    }

    /** The machines reach no controller, while direct commands reach them. */
    public static Rule dropOutbound(Collection<String> machines) {
        return (from, to, request) -> machines.contains(from) ? Action.DROP : null;
    }

    /** Nothing gets to the machines or away from them. */
    public static Rule machineTraffic(Collection<String> machines, Action action) {
        return (from, to, request) ->
                machines.contains(from) || machines.stream().anyMatch(to::startsWith) ? action : null;
    }

    /** The state service refuses this controller alone. */
    public static Rule rejectedByStateService(int node) {
        return (from, to, request) -> from.equals(host(node)) && to.startsWith(STATE) ? Action.REJECT : null;
    }

    /**
     * The controller and the workers hear each other, but the state service and the other controllers don't hear it.
     */
    public static Rule isolated(int node) {
        String host = host(node);
        return (from, to, request) -> from.equals(host) && (to.startsWith(CONTROLLERS) || to.startsWith(STATE))
                        || to.startsWith(host) && from.startsWith(CONTROLLERS)
                ? Action.DROP
                : null;
    }

    /** That part of the transactions that match gets no answer; they are carried out late, or at once. */
    public static Rule transactions(String with, Action action, double share, Random random) {
        return (from, to, request) -> to.startsWith(STATE)
                        && request.route().equals("/txn")
                        && text(request).contains(with)
                        && random.nextDouble() < share
                ? action
                : null;
    }

    /** That becomes of this part of the workers' reports. */
    public static Rule heartbeats(Action action, double share, Random random) {
        return (from, to, request) ->
                request.route().equals("/agent/beat") && random.nextDouble() < share ? action : null;
    }

    /** That becomes of direct commands. */
    public static Rule commands(Action action) {
        return (from, to, request) -> request.route().equals("/do") ? action : null;
    }

    private static String text(HttpRequest request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }
}
