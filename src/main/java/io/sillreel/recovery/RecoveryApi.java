package io.sillreel.recovery;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.recovery.ChangeLog.Memory;
import io.sillreel.recovery.RecoveryMessages.Page;
import io.sillreel.recovery.RecoveryMessages.PeerStatus;
import io.sillreel.settings.Settings;
import java.util.Locale;

/** Answers what other controllers and operators ask about lost writes, on the internal address. */
final class RecoveryApi {
    private static final String OPERATORS = "/recovery";
    private static final String STATUS = OPERATORS + "/status";
    private static final String ACCEPT_LOSS = OPERATORS + "/accept-loss";
    private static final int PAGE_BYTES = 256 * 1024;
    private static final int RETRY_SECONDS = 5;

    private final Recovery recovery;
    private final Settings settings;

    RecoveryApi(Recovery recovery, Settings settings) {
        this.recovery = recovery;
        this.settings = settings;
    }

    static boolean handlesRoute(String route) {
        return route.startsWith(RecoveryMessages.GREETING) || route.startsWith(OPERATORS);
    }

    HttpResponse handle(HttpRequest request) {
        return switch (request.route()) {
            case RecoveryMessages.GREETING -> {
                recovery.onPeerStatus(PeerStatus.of(request.body()));
                yield new HttpResponse(200, recovery.ownStatus().bytes(), 0);
            }
            case RecoveryMessages.CHANGES -> page(request);
            case STATUS -> HttpResponse.of(200, status());
            case ACCEPT_LOSS -> request.method().equals("POST") ? acceptLoss() : HttpResponse.error(405, "use POST");
            default -> HttpResponse.error(404, "no such path");
        };
    }

    /** A page of what is remembered here. */
    private HttpResponse page(HttpRequest request) {
        long asked = number(request, "generation");
        recovery.onMemoryCollected(asked);
        if (!recovery.suspended() || asked < recovery.generation()) {
            return HttpResponse.retryLater(503, "generation " + asked + " is over here", 1);
        }
        Memory memory = recovery.memory();
        int from = (int) Math.min(number(request, "from"), memory.changes().size());
        int to = from;
        for (int bytes = 0; to < memory.changes().size() && bytes < PAGE_BYTES; to++) {
            bytes += memory.changes().get(to).bytes();
        }
        boolean last = to == memory.changes().size();
        Memory part = memory.with(memory.changes().subList(from, to));
        return new HttpResponse(200, new Page(part, recovery.highWatermarks(), last).bytes(), 0);
    }

    private static long number(HttpRequest request, String name) {
        String text = request.queryParameter(name);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private ObjectNode status() {
        ObjectNode status = Json.object()
                .put("node", settings.nodeName())
                .put("generation", recovery.generation())
                .put("suspended", recovery.suspended())
                .put("evidence", recovery.evidence())
                .put("leader", recovery.leader())
                .put("ledger", recovery.storeRevision())
                .put("remembered_bytes", recovery.log().bytes());
        if (recovery.log().knownFrom() < Long.MAX_VALUE) {
            status.put("remembered_from", recovery.log().knownFrom());
        }
        StoreRebuild rebuild = recovery.rebuild();
        if (rebuild != null) {
            status.put("step", rebuild.step().name().toLowerCase(Locale.ROOT))
                    .put("restored", rebuild.restored())
                    .put("incomplete", rebuild.gap());
            rebuild.collectedFrom().forEach(status.putArray("heard")::add);
        }
        return status;
    }

    private HttpResponse acceptLoss() {
        if (!recovery.suspended()) {
            return HttpResponse.error(409, "no loss is known that has not been made good");
        }
        StoreRebuild rebuild = recovery.rebuild();
        if (rebuild == null) {
            return HttpResponse.error(409, "ask the controller that leads: " + recovery.leader());
        }
        if (rebuild.gap().isEmpty()) {
            return HttpResponse.retryLater(503, "what is remembered is still being put back", RETRY_SECONDS);
        }
        rebuild.acceptLoss();
        return HttpResponse.of(200, status());
    }
}
