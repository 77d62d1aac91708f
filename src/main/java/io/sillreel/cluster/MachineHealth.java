package io.sillreel.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Evidence against a machine: jobs whose tasks failed on it, and jobs whose tasks took much longer than expected.
 * Guarded by the lock of the {@link Cluster}.
 */
public final class MachineHealth {
    /** Ratio of actual to expected run time from which the machine, or the estimate, is suspect. */
    public static final double SLOW_RATIO = 2.5;

    private final Set<String> suspicions = new HashSet<>();
    private final Set<String> slowJobs = new HashSet<>();

    /** True while the machine may be at fault for failed tasks of some job. */
    public boolean isSuspect() {
        return !suspicions.isEmpty();
    }

    /** Returns the ids of the jobs for whose failed tasks the machine may be at fault. */
    public Set<String> suspicions() {
        return suspicions;
    }

    /** Records that the machine may be at fault for failed tasks of the job. */
    public void addSuspicion(String uid) {
        suspicions.add(uid);
    }

    /** Records that the machine is not at fault for failed tasks of the job. */
    public void clearSuspicion(String uid) {
        suspicions.remove(uid);
    }

    /** Records the ratio of actual to expected run time of an ended task. A normal ratio clears earlier evidence. */
    public void recordRuntimeRatio(double ratio, String uid) {
        if (ratio < SLOW_RATIO) {
            slowJobs.clear();
        } else {
            slowJobs.add(uid);
        }
    }

    /** True once tasks of several jobs in a row were slow; for a single job, the estimate may be wrong. */
    public boolean isSlow() {
        return slowJobs.size() > 1;
    }
}
