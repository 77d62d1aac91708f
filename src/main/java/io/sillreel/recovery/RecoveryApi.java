package io.sillreel.recovery;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.recovery.ChangeLog.Snapshot;
import io.sillreel.recovery.RecoveryMessages.Page;
import io.sillreel.recovery.RecoveryMessages.PeerStatus;
import io.sillreel.settings.Settings;
import java.util.Locale;

/** Handles requests of other controllers and operators about lost writes, on the internal address. */
final class RecoveryApi {
    private static final String OPERATOR_PREFIX = "/recovery";
    private static final String STATUS = OPERATOR_PREFIX + "/status";
    private static final String ACCEPT_LOSS = OPERATOR_PREFIX + "/accept-loss";
    private static final int PAGE_BYTES = 256 * 1024;
    private static final int RETRY_SECONDS = 5;

    private final Recovery recovery;
    private final Settings settings;

    RecoveryApi(Recovery recovery, Settings settings) {
        this.recovery = recovery;
        this.settings = settings;
    }

    static boolean handlesRoute(String route) {
        return route.startsWith(RecoveryMessages.STATUS_ROUTE) || route.startsWith(OPERATOR_PREFIX);
    }

    HttpResponse handle(HttpRequest request) {
        return switch (request.route()) {
            case RecoveryMessages.STATUS_ROUTE -> {
                recovery.onPeerStatus(PeerStatus.decode(request.body()));
                yield new HttpResponse(200, recovery.ownStatus().encode(), 0);
            }
            case RecoveryMessages.CHANGES_ROUTE -> respondWithPage(request);
            case STATUS -> HttpResponse.of(200, status());
            case ACCEPT_LOSS -> request.method().equals("POST") ? acceptLoss() : HttpResponse.error(405, "use POST");
            default -> HttpResponse.error(404, "no such path");
        };
    }

    /** Responds with a page of this controller's change log. */
    private HttpResponse respondWithPage(HttpRequest request) {
        long requestedGeneration = numberParameter(request, "generation");
        recovery.onSnapshotRequested(requestedGeneration);
        if (!recovery.isSuspended() || requestedGeneration < recovery.generation()) {
            return HttpResponse.retryLater(503, "generation " + requestedGeneration + " is over here", 1);
        }
        Snapshot snapshot = recovery.snapshot();
        int from = (int)
                Math.min(numberParameter(request, "from"), snapshot.changes().size());
        int to = from;
        for (int bytes = 0; to < snapshot.changes().size() && bytes < PAGE_BYTES; to++) {
            bytes += snapshot.changes().get(to).sizeBytes();
        }
        boolean last = to == snapshot.changes().size();
        Snapshot pageSnapshot = snapshot.withChanges(snapshot.changes().subList(from, to));
        return new HttpResponse(200, new Page(pageSnapshot, recovery.highWatermarks(), last).encode(), 0);
    }

    private static long numberParameter(HttpRequest request, String name) {
        String text = request.queryParameter(name);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private ObjectNode status() {
        ObjectNode status = Json.object()
                .put("node", settings.nodeName())
                .put("generation", recovery.generation())
                .put("suspended", recovery.isSuspended())
                .put("evidence", recovery.evidence())
                .put("leader", recovery.leader())
                .put("ledger", recovery.storeRevision())
                .put("remembered_bytes", recovery.log().sizeBytes());
        if (recovery.log().completeFrom() < Long.MAX_VALUE) {
            status.put("remembered_from", recovery.log().completeFrom());
        }
        StoreRebuild rebuild = recovery.rebuild();
        if (rebuild != null) {
            status.put("step", rebuild.step().name().toLowerCase(Locale.ROOT))
                    .put("restored", rebuild.restoredCount())
                    .put("incomplete", rebuild.incompleteReason());
            rebuild.collectedFrom().forEach(status.putArray("heard")::add);
        }
        return status;
    }

    private HttpResponse acceptLoss() {
        if (!recovery.isSuspended()) {
            return HttpResponse.error(409, "no loss is known that has not been made good");
        }
        StoreRebuild rebuild = recovery.rebuild();
        if (rebuild == null) {
            return HttpResponse.error(409, "ask the controller that leads: " + recovery.leader());
        }
        if (rebuild.incompleteReason().isEmpty()) {
            return HttpResponse.retryLater(503, "what is remembered is still being put back", RETRY_SECONDS);
        }
        rebuild.acceptLoss();
        return HttpResponse.of(200, status());
    }
}
