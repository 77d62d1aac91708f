package io.sillreel.placement;

import io.sillreel.pipeline.PriorityClass;

/**
 * Priority bands of waiting jobs, in the order in which they are served; within a band, jobs are served in admission
 * order. Each priority class has one band for each {@link Timeliness}.
 */
enum PriorityBand {
    /** Jobs that have waited too long; served before all others to prevent starvation. */
    AGED,
    PRODUCTION_URGENT,
    PRODUCTION_ON_TIME,
    PRODUCTION_LATE,
    HIGH_URGENT,
    HIGH_ON_TIME,
    HIGH_LATE,
    NORMAL_URGENT,
    NORMAL_ON_TIME,
    NORMAL_LATE,
    BEST_EFFORT_URGENT,
    BEST_EFFORT_ON_TIME,
    BEST_EFFORT_LATE;

    /** The state of a job with respect to its deadline. */
    enum Timeliness {
        /** The job misses its deadline unless its tasks are started soon. */
        URGENT,
        /** The tasks don't have to be started soon to meet the deadline. */
        ON_TIME,
        /** The deadline can't be met any more. */
        LATE;

        /** Jobs with less slack than this are urgent. */
        static final long URGENT_SLACK_MICROS = 15_000_000;

        private static final int COUNT = values().length;

        /**
         * @param slackMicros time until the last task has to be started to meet the deadline; negative if that time has
         *     passed
         */
        static Timeliness ofSlack(long slackMicros) {
            if (slackMicros < 0) {
                return LATE;
            }
            return slackMicros < URGENT_SLACK_MICROS ? URGENT : ON_TIME;
        }
    }

    private static final PriorityBand[] BANDS = values();

    static PriorityBand of(PriorityClass priorityClass, Timeliness timeliness) {
        return BANDS[1 + Timeliness.COUNT * priorityClass.ordinal() + timeliness.ordinal()];
    }

    /** Returns true if jobs of this band are served no later than those of the other one. */
    boolean isAtOrBefore(PriorityBand other) {
        return ordinal() <= other.ordinal();
    }

    /** Returns the one of the two bands that is served first. */
    PriorityBand earlierOf(PriorityBand other) {
        return isAtOrBefore(other) ? this : other;
    }
}
