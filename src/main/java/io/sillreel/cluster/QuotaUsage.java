package io.sillreel.cluster;

import io.sillreel.pipeline.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** What each team's live tasks take, in thousandths; kept as tasks come and go, so that nobody has to add it up. */
public final class QuotaUsage {
    private static final long MILLI = 1_000;

    /** Processors and cards. */
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

        /** Adds at most so much of another amount. */
        private void addUpTo(Amount other, double maxCpus, double maxGpus) {
            cpus += Math.min(other.cpus, toMilli(maxCpus));
            gpus += Math.min(other.gpus, toMilli(maxGpus));
        }
    }

    private static final Amount NOTHING = new Amount();
    private final Map<String, Amount> amountByTeam = new HashMap<>();

    /** The tasks' amounts are added, or taken off if there are fewer than none. */
    public void add(JobSpec spec, int tasks) {
        Amount amount = amountByTeam.computeIfAbsent(spec.team(), team -> new Amount());
        amount.cpus += tasks * toMilli(spec.cpus());
        amount.gpus += tasks * toMilli(spec.gpus());
    }

    public Amount ofTeam(String team) {
        return amountByTeam.getOrDefault(team, NOTHING);
    }

    /** Returns an independent copy. */
    public QuotaUsage copy() {
        QuotaUsage copy = new QuotaUsage();
        amountByTeam.forEach((team, amount) -> copy.amountByTeam.put(team, new Amount(amount)));
        return copy;
    }

    /** Adds what the hidden tasks of each team may take, as far as it fits into the given room. */
    public void addCapped(QuotaUsage hidden, double maxCpus, double maxGpus) {
        hidden.amountByTeam.forEach((team, most) ->
                amountByTeam.computeIfAbsent(team, name -> new Amount()).addUpTo(most, maxCpus, maxGpus));
    }

    /** Rounded up, so that limits hold. */
    public static long toMilli(double amount) {
        return (long) Math.ceil(amount * MILLI - 1e-6);
    }
}
