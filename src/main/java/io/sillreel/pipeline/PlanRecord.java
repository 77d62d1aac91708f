package io.sillreel.pipeline;

/**
 * The stored record of an accepted job: {@code plan/UID}. Lists of names that do not fit into its value are stored in
 * {@code plan-overflow/UID/N} within the same transaction ({@link PlanOverflow}).
 *
 * @param admittedWallMicros when the job was admitted; time of day
 * @param overflowValues how many overflow values have yet to be added; 0 if the specification is complete
 */
public record PlanRecord(long admittedWallMicros, JobSpec spec, int overflowValues) {
    /** The prefix of all plans. */
    public static final String PREFIX = "plan/";
    /** The prefix of all overflow values; version 5806758 does not list it. */
    public static final String OVERFLOW_PREFIX = "plan-overflow/";

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

    /** True if nothing of the record has to be read from overflow values. */
    public boolean isComplete() {
        return overflowValues == 0;
    }
}
