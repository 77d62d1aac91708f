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

/** Moves the lists of machine types and dependencies of a plan that is too large for one value to overflow values. */
public final class PlanOverflow {
    private PlanOverflow() {}

    /**
     * Splits a complete plan into values of limited size.
     *
     * @return the values by key; empty if more than {@code maxValues} values are needed or a name is too long for one
     */
    public static Optional<Map<String, JsonNode>> split(PlanRecord plan, int maxBytes, int maxValues) {
        JobSpec spec = plan.spec();
        Map<String, JsonNode> values = new LinkedHashMap<>();
        ObjectNode complete = PlanRecordCodec.encode(plan);
        if (Json.bytes(complete).length <= maxBytes) {
            values.put(PlanRecord.key(spec.uid()), complete);
            return Optional.of(values);
        }
        List<ObjectNode> overflow = new ArrayList<>();
        List<String> machineTypes = spec.placement().machineTypes();
        addNames(overflow, JobSpecCodec.MACHINE_TYPES, machineTypes == null ? List.of() : machineTypes, maxBytes);
        addNames(overflow, JobSpecCodec.DEPENDENCIES, spec.dependencies(), maxBytes);
        values.put(PlanRecord.key(spec.uid()), PlanRecordCodec.encodeWithoutNames(plan, overflow.size()));
        for (int index = 0; index < overflow.size(); index++) {
            values.put(PlanRecord.overflowKey(spec.uid(), index), overflow.get(index));
        }
        boolean fits = values.size() <= maxValues
                && values.values().stream().allMatch(value -> Json.bytes(value).length <= maxBytes);
        return fits ? Optional.of(values) : Optional.empty();
    }

    /** Distributes the names of one field over as many values as needed. */
    private static void addNames(List<ObjectNode> overflow, String field, List<String> names, int maxBytes) {
        ArrayNode current = null;
        int bytes = 0;
        for (String name : names) {
            int size = Json.bytes(Json.array().add(name)).length;
            if (current == null || bytes + size > maxBytes) {
                ObjectNode value = Json.object();
                current = value.putArray(field);
                bytes = Json.bytes(value).length;
                overflow.add(value);
            }
            current.add(name);
            bytes += size;
        }
    }

    /** Returns the complete plan, given the overflow values of the job in the order of their keys. */
    public static PlanRecord merge(PlanRecord plan, List<JsonNode> overflow) {
        List<String> machineTypes = new ArrayList<>();
        List<String> dependencies = new ArrayList<>();
        for (JsonNode value : overflow) {
            value.path(JobSpecCodec.MACHINE_TYPES).forEach(name -> machineTypes.add(name.asText()));
            value.path(JobSpecCodec.DEPENDENCIES).forEach(name -> dependencies.add(name.asText()));
        }
        JobSpec complete =
                plan.spec().withMachineTypesAndDependencies(machineTypes.isEmpty() ? null : machineTypes, dependencies);
        return new PlanRecord(plan.admittedWallMicros(), complete);
    }

    /** Reads the overflow values of a plan and merges them; completes empty if one of them could not be read. */
    public static CompletableFuture<Optional<PlanRecord>> load(PlanRecord plan, StateStore store) {
        if (plan.isComplete()) {
            return CompletableFuture.completedFuture(Optional.of(plan));
        }
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        for (int index = 0; index < plan.overflowValues(); index++) {
            reads.add(store.get(PlanRecord.overflowKey(plan.spec().uid(), index)));
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(all -> mergeRead(plan, reads));
    }

    private static Optional<PlanRecord> mergeRead(PlanRecord plan, List<CompletableFuture<ReadResult>> reads) {
        List<JsonNode> values = new ArrayList<>();
        for (CompletableFuture<ReadResult> read : reads) {
            if (read.join().outcome() != StoreOutcome.OK) {
                return Optional.empty();
            }
            values.add(read.join().entry().orElseThrow().value());
        }
        return Optional.of(merge(plan, values));
    }
}
