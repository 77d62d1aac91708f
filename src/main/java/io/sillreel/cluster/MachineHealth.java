package io.sillreel.cluster;

import java.util.HashSet;
import java.util.Set;

/** What speaks against a machine: jobs whose tasks it failed, and jobs whose tasks took much longer than elsewhere. */
public final class MachineHealth {
    /** A task that takes so many times what is expected of it hints at a slow machine, or at a wrong estimate. */
    public static final double SLOW_RATIO = 2.5;

    private final Set<String> suspectingJobs = new HashSet<>();
    private final Set<String> slowJobs = new HashSet<>();

    /** True while the machine is under suspicion of failing what it starts. */
    public boolean isSuspect() {
        return !suspectingJobs.isEmpty();
    }

    public Set<String> suspectingJobs() {
        return suspectingJobs;
    }

    public void addSuspicion(String uid) {
        suspectingJobs.add(uid);
    }

    public void clearSuspicion(String uid) {
        suspectingJobs.remove(uid);
    }

    /** A task of the job took so many times what was expected of it. */
    public void recordRuntimeRatio(double ratio, String uid) {
        if (ratio < SLOW_RATIO) {
            slowJobs.clear();
        } else {
            slowJobs.add(uid);
        }
    }

    /** True once tasks of several jobs in a row took a multiple: one job alone may just have been guessed wrong. */
    public boolean isSlow() {
        return slowJobs.size() > 1;
    }
}
