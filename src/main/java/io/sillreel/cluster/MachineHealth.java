package io.sillreel.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Evidence against a machine: jobs whose tasks failed on it, and jobs whose tasks took much longer than expected.
 * Guarded by the lock of the {@link Cluster}.
 */
public final class MachineHealth {
    /** Ratio of actual to expected run time from which a machine, or the estimate, is suspected. */
    public static final double SLOW_RATIO = 2.5;

    private final Set<String> suspicions = new HashSet<>();
    private final Set<String> slowJobs = new HashSet<>();

    /** True while failed tasks of some job may be the fault of the machine. */
    public boolean isSuspect() {
        return !suspicions.isEmpty();
    }

    /** Returns the ids of the jobs whose failures may be the fault of the machine. */
    public Set<String> suspicions() {
        return suspicions;
    }

    /** Records that failed tasks of the job may be the fault of the machine. */
    public void addSuspicion(String uid) {
        suspicions.add(uid);
    }

    /** Records that failed tasks of the job are not the fault of the machine. */
    public void clearSuspicion(String uid) {
        suspicions.remove(uid);
    }

    /** Records the ratio of actual to expected run time of an ended task. A usual ratio clears earlier evidence. */
    public void recordRuntimeRatio(double ratio, String uid) {
        if (ratio < SLOW_RATIO) {
            slowJobs.clear();
        } else {
            slowJobs.add(uid);
        }
    }

    /** True once tasks of several jobs in a row were slow; for one job alone the estimate may be wrong. */
    public boolean isSlow() {
        return slowJobs.size() > 1;
    }
}
