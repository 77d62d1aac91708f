package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The stored form of an accepted job: {@code plan/UID}. Lists of names that do not fit into its value lie in
 * {@code plan-overflow/UID/N}, written in the same transaction; the plan says how many of those there are.
 *
 * @param overflowValues how many overflow values have yet to be added; 0 if the specification is complete
 */
public record PlanRecord(long admittedWallMicros, JobSpec spec, int overflowValues) {
    /** The prefix of all plans. */
    public static final String PREFIX = "plan/";
    /** The prefix of all overflow values; version 5806758 does not list it. */
    public static final String OVERFLOW_PREFIX = "plan-overflow/";

    private static final String ADMITTED = "at_us";
    private static final String JOB = "job";
    private static final String OVERFLOW = "overflow";
    private static final String BUILDS = "builds";
    private static final String AWAITS = "awaits";

    /** Creates the record of a job that is admitted now. */
    public PlanRecord(long admittedWallMicros, JobSpec spec) {
        this(admittedWallMicros, spec, 0);
    }

    /** The key of a job's plan. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /** The key of one of a job's overflow values, counted from 0. */
    public static String overflowKey(String uid, int index) {
        return OVERFLOW_PREFIX + uid + "/" + index;
    }

    /** The whole record as one value, the form that all versions read. */
    public ObjectNode toJson() {
        ObjectNode plan = Json.object().put(ADMITTED, admittedWallMicros);
        plan.set(JOB, spec.toJson());
        return plan;
    }

    /** Reads a stored plan; it is incomplete if it has overflow values. */
    public static PlanRecord fromJson(JsonNode plan) {
        return new PlanRecord(
                admittedWallMicros(plan),
                JobSpec.fromPlan(plan.path(JOB)),
                plan.path(OVERFLOW).asInt());
    }

    /** When the job of a stored plan was admitted; cheaper than to read all of it. */
    public static long admittedWallMicros(JsonNode plan) {
        return plan.path(ADMITTED).asLong();
    }

    /** True if nothing of the record has to be read from overflow values. */
    public boolean isComplete() {
        return overflowValues == 0;
    }

    /**
     * Cuts the record into values of a limited size.
     *
     * @return values by key, or nothing if that takes more values than allowed
     */
    public Optional<Map<String, JsonNode>> splitOverflow(int mostBytes, int mostValues) {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        ObjectNode whole = toJson();
        if (Json.bytes(whole).length <= mostBytes) {
            values.put(key(spec.uid()), whole);
            return Optional.of(values);
        }
        List<ObjectNode> overflow = new ArrayList<>();
        addNames(overflow, BUILDS, spec.machineTypes() == null ? List.of() : spec.machineTypes(), mostBytes);
        addNames(overflow, AWAITS, spec.dependencies(), mostBytes);
        ObjectNode job = spec.toJson();
        job.remove(List.of(BUILDS, AWAITS));
        ObjectNode plan = Json.object().put(ADMITTED, admittedWallMicros).put(OVERFLOW, overflow.size());
        plan.set(JOB, job);
        values.put(key(spec.uid()), plan);
        overflow.forEach(value -> values.put(overflowKey(spec.uid(), values.size() - 1), value));
        boolean fits = values.size() <= mostValues
                && values.values().stream().allMatch(value -> Json.bytes(value).length <= mostBytes);
        return fits ? Optional.of(values) : Optional.empty();
    }

    /** Distributes the names of one field over as many values as they take. */
    private static void addNames(List<ObjectNode> overflow, String field, List<String> names, int mostBytes) {
        ArrayNode current = null;
        int bytes = 0;
        for (String name : names) {
            int size = Json.bytes(Json.array().add(name)).length;
            if (current == null || bytes + size > mostBytes) {
                ObjectNode value = Json.object();
                current = value.putArray(field);
                bytes = Json.bytes(value).length;
                overflow.add(value);
            }
            current.add(name);
            bytes += size;
        }
    }

    /** The complete record, given the overflow values of the job in their order. */
    public PlanRecord withOverflow(List<JsonNode> overflow) {
        List<String> builds = new ArrayList<>();
        List<String> awaits = new ArrayList<>();
        for (JsonNode value : overflow) {
            value.path(BUILDS).forEach(name -> builds.add(name.asText()));
            value.path(AWAITS).forEach(name -> awaits.add(name.asText()));
        }
        JobSpec whole = spec.withNames(builds.isEmpty() ? null : builds, awaits);
        return new PlanRecord(admittedWallMicros, whole, 0);
    }

    /** Completes a record that was read; empty if an overflow value could not be read now. */
    public CompletableFuture<Optional<PlanRecord>> loadOverflow(StateStore store) {
        if (isComplete()) {
            return CompletableFuture.completedFuture(Optional.of(this));
        }
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        for (int index = 0; index < overflowValues; index++) {
            reads.add(store.get(overflowKey(spec.uid(), index)));
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply(all -> {
            List<JsonNode> values = new ArrayList<>();
            for (CompletableFuture<ReadResult> read : reads) {
                if (read.join().outcome() != StoreOutcome.OK) {
                    return Optional.empty();
                }
                values.add(read.join().entry().orElseThrow().value());
            }
            return Optional.of(withOverflow(values));
        });
    }
}
