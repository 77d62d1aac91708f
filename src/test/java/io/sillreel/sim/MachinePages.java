package io.sillreel.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.NavigableMap;
import java.util.function.BiConsumer;

/** Paginates the machine list of a simulated cloud. */
public final class MachinePages {
    private MachinePages() {}

    /**
     * Returns the requested page.
     *
     * @param fieldWriter adds the fields of a machine other than its name, stage and age
     */
    public static <M> HttpResponse page(
            HttpRequest request, NavigableMap<String, M> machines, BiConsumer<M, ObjectNode> fieldWriter) {
        String since = request.queryParameter("since");
        int limit = Integer.parseInt(request.queryParameter("limit"));
        NavigableMap<String, M> rest = machines.tailMap(since, false);
        ObjectNode body = Json.object().put("truncated", rest.size() > limit);
        ArrayNode hoppers = body.putArray("hoppers");
        rest.entrySet().stream().limit(limit).forEach(machine -> {
            ObjectNode entry = hoppers.addObject()
                    .put("uid", machine.getKey())
                    .put("stage", "running")
                    .put("age_s", 1.0);
            fieldWriter.accept(machine.getValue(), entry);
        });
        return HttpResponse.of(200, body);
    }
}
