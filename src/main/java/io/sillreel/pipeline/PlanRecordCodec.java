package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;

/** The stored form of a {@link PlanRecord}. */
public final class PlanRecordCodec {
    private static final String ADMITTED = "at_us";
    private static final String JOB = "job";
    private static final String OVERFLOW = "overflow";

    private PlanRecordCodec() {}

    /** Returns the whole plan as one value, the form that all versions read. */
    public static ObjectNode encode(PlanRecord plan) {
        ObjectNode node = Json.object().put(ADMITTED, plan.admittedWallMicros());
        node.set(JOB, JobSpecCodec.encode(plan.spec()));
        return node;
    }

    /** Returns the value of a plan whose machine types and dependencies are stored in that many overflow values. */
    static ObjectNode encodeWithoutNames(PlanRecord plan, int overflowValues) {
        ObjectNode job = JobSpecCodec.encode(plan.spec());
        job.remove(JobSpecCodec.MACHINE_TYPES);
        job.remove(JobSpecCodec.DEPENDENCIES);
        ObjectNode node = Json.object().put(ADMITTED, plan.admittedWallMicros()).put(OVERFLOW, overflowValues);
        node.set(JOB, job);
        return node;
    }

    /** Decodes a stored plan, which is incomplete if it has overflow values. */
    public static PlanRecord decode(JsonNode node) {
        return new PlanRecord(
                admittedWallMicros(node),
                JobSpecCodec.decode(node.path(JOB)),
                node.path(OVERFLOW).asInt());
    }

    /** Returns the wall-clock time of the admission without decoding the rest of the plan. */
    public static long admittedWallMicros(JsonNode node) {
        return node.path(ADMITTED).asLong();
    }
}
