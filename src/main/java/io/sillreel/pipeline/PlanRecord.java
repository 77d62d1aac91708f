package io.sillreel.pipeline;

/**
 * The stored plan of an admitted job, under the key {@code plan/UID}. Lists of names that do not fit into its value are
 * stored under {@code plan-overflow/UID/N} in the same transaction ({@link PlanOverflow}).
 *
 * @param admittedWallMicros wall-clock time of the admission
 * @param overflowValues number of overflow values that have to be merged; 0 if the specification is complete
 */
public record PlanRecord(long admittedWallMicros, JobSpec spec, int overflowValues) {
    /** Key prefix of all plans. */
    public static final String PREFIX = "plan/";
    /** Key prefix of all overflow values; version 5806758 does not list it. */
    public static final String OVERFLOW_PREFIX = "plan-overflow/";

    /** Creates the plan of a job without overflow values. */
    public PlanRecord(long admittedWallMicros, JobSpec spec) {
        this(admittedWallMicros, spec, 0);
    }

    /** Returns the key of a job's plan. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /** Returns the key of one of a job's overflow values; indexes start at 0. */
    public static String overflowKey(String uid, int index) {
        return OVERFLOW_PREFIX + uid + "/" + index;
    }

    /** True if no overflow values have to be merged. */
    public boolean isComplete() {
        return overflowValues == 0;
    }
}
