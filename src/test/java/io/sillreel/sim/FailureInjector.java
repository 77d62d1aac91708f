package io.sillreel.sim;

import io.sillreel.http.HttpRequest;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Random;

/** Network rules that simulate failures between hosts. */
public final class FailureInjector {
    private static final String CONTROLLERS = "10.0.0.";
    private static final String STATE = "state";

    private FailureInjector() {}

    public static String host(int node) {
        return CONTROLLERS + node;
    }

    /** Heartbeats of the machine arrive, but neither responses nor commands reach it. */
    public static Rule dropInbound(String machine) {
        return (from, to, request) ->
                from.equals(machine) ? Action.DROP_RESPONSE : to.startsWith(machine) ? Action.DROP : null;
    }

    /** Drops all requests of the machines, while direct commands still reach them. */
    public static Rule dropOutbound(Collection<String> machines) {
        return (from, to, request) -> machines.contains(from) ? Action.DROP : null;
    }

    /** Applies the action to all requests to and from the machines. */
    public static Rule machineTraffic(Collection<String> machines, Action action) {
        return (from, to, request) ->
                machines.contains(from) || machines.stream().anyMatch(to::startsWith) ? action : null;
    }

    /** The state service rejects all requests of this controller. */
    public static Rule rejectedByStateService(int node) {
        return (from, to, request) -> from.equals(host(node)) && to.startsWith(STATE) ? Action.REJECT : null;
    }

    /** Partitions the controller from the state service and the other controllers, but not from the workers. */
    public static Rule isolated(int node) {
        String host = host(node);
        return (from, to, request) -> from.equals(host) && (to.startsWith(CONTROLLERS) || to.startsWith(STATE))
                        || to.startsWith(host) && from.startsWith(CONTROLLERS)
                ? Action.DROP
                : null;
    }

    /** Applies the action to a random share of the transactions whose body contains the text. */
    public static Rule transactions(String with, Action action, double share, Random random) {
        return (from, to, request) -> to.startsWith(STATE)
                        && request.route().equals("/txn")
                        && text(request).contains(with)
                        && random.nextDouble() < share
                ? action
                : null;
    }

    /** Applies the action to a random share of the heartbeats. */
    public static Rule heartbeats(Action action, double share, Random random) {
        return (from, to, request) ->
                request.route().equals("/agent/beat") && random.nextDouble() < share ? action : null;
    }

    /** Applies the action to all direct commands to machines. */
    public static Rule commands(Action action) {
        return (from, to, request) -> request.route().equals("/do") ? action : null;
    }

    private static String text(HttpRequest request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }
}
