package io.sillreel.cluster;

import java.util.HashSet;
import java.util.Set;

/** What speaks against a machine: jobs whose tasks it failed, and jobs whose tasks took much longer than elsewhere. */
public final class MachineHealth {
    /** A task that takes so many times what is expected of it hints at a slow machine, or at a wrong estimate. */
    public static final double SLOW_RATIO = 2.5;

    private final Set<String> suspectedBy = new HashSet<>();
    private final Set<String> slowJobs = new HashSet<>();

    /** True while the machine is under suspicion of failing what it starts. */
    public boolean isSuspect() {
        return !suspectedBy.isEmpty();
    }

    public Set<String> suspectedBy() {
        return suspectedBy;
    }

    public void suspect(String uid) {
        suspectedBy.add(uid);
    }

    public void clearSuspicion(String uid) {
        suspectedBy.remove(uid);
    }

    /** A task of the job took so many times what was expected of it. */
    public void ran(double ratio, String uid) {
        if (ratio < SLOW_RATIO) {
            slowJobs.clear();
        } else {
            slowJobs.add(uid);
        }
    }

    /** True once tasks of several jobs in a row took a multiple: one job alone may just have been guessed wrong. */
    public boolean slow() {
        return slowJobs.size() > 1;
    }
}
