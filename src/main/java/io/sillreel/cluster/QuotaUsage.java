package io.sillreel.cluster;

import io.sillreel.pipeline.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The CPUs and GPUs that each team's live tasks use, in thousandths. It is updated as tasks start and end, so that the
 * cost of reading it does not depend on the number of tasks. Not thread-safe.
 */
public final class QuotaUsage {
    private static final long MILLI = 1_000;
    /** Tolerance for the rounding errors of decimal amounts. */
    private static final double ROUNDING_TOLERANCE_MILLI = 1e-9;
    /** Larger amounts count as this much, so that the sum over the tasks of many jobs does not overflow. */
    private static final double MAX_MILLI = 1e12;

    /** An amount of CPUs and GPUs, in thousandths. */
    public static final class Amount {
        private long cpus;
        private long gpus;

        private Amount() {}

        private Amount(Amount other) {
            cpus = other.cpus;
            gpus = other.gpus;
        }

        public long cpus() {
            return cpus;
        }

        public long gpus() {
            return gpus;
        }

        /** Adds another amount, limited to the given CPUs and GPUs. */
        private void addUpTo(Amount other, double maxCpus, double maxGpus) {
            cpus += Math.min(other.cpus, toMilli(maxCpus));
            gpus += Math.min(other.gpus, toMilli(maxGpus));
        }
    }

    private static final Amount ZERO = new Amount();
    private final Map<String, Amount> amountByTeam = new HashMap<>();

    /**
     * Adds the resources of the job's tasks.
     *
     * @param tasks number of tasks; a negative number subtracts
     */
    public void add(JobSpec spec, int tasks) {
        Amount amount = amountByTeam.computeIfAbsent(spec.team(), team -> new Amount());
        amount.cpus += tasks * toMilli(spec.cpus());
        amount.gpus += tasks * toMilli(spec.gpus());
    }

    /** Returns the usage of the team; zero for an unknown team. */
    public Amount ofTeam(String team) {
        return amountByTeam.getOrDefault(team, ZERO);
    }

    /** Returns an independent copy. */
    public QuotaUsage copy() {
        QuotaUsage copy = new QuotaUsage();
        amountByTeam.forEach((team, amount) -> copy.amountByTeam.put(team, new Amount(amount)));
        return copy;
    }

    /** Adds the potential usage of undiscovered tasks, capped for each team at the given CPUs and GPUs. */
    public void addCapped(QuotaUsage undiscovered, double maxCpus, double maxGpus) {
        undiscovered.amountByTeam.forEach((team, amount) ->
                amountByTeam.computeIfAbsent(team, name -> new Amount()).addUpTo(amount, maxCpus, maxGpus));
    }

    /**
     * Converts to thousandths, rounded up so that quotas are never exceeded: an amount above zero is at least one
     * thousandth.
     */
    public static long toMilli(double amount) {
        if (amount <= 0) {
            return 0;
        }
        double rounded = Math.ceil(amount * MILLI - ROUNDING_TOLERANCE_MILLI);
        return (long) Math.max(1, Math.min(MAX_MILLI, rounded));
    }

    /** Converts to thousandths, rounded down as a limit has to be. */
    static long toMilliRoundedDown(double amount) {
        double rounded = Math.floor(amount * MILLI + ROUNDING_TOLERANCE_MILLI);
        return (long) Math.max(0, Math.min(MAX_MILLI, rounded));
    }
}
