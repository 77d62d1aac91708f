package io.sillreel.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Evidence for and against a machine: jobs whose tasks failed on it, tasks that were done on it since, and jobs whose
 * tasks took much longer than expected. All times are in microseconds of the event loop. Guarded by the lock of the
 * {@link Cluster}.
 */
public final class MachineHealth {
    /** Ratio of actual to expected run time from which the machine, or the estimate, is suspect. */
    public static final double SLOW_RATIO = 2.5;

    /**
     * How long a suspect machine gets no tasks. By then the failed job has usually been tried elsewhere. It may not
     * have been, and may never be: there may be no other machine for it.
     */
    static final long QUARANTINE_MICROS = 20_000_000;

    /**
     * The failure of a job for which the machine may be at fault.
     *
     * @param startedMicros when the failed task started, at the latest
     * @param reportedMicros when the failure was reported
     */
    private record Suspicion(long startedMicros, long reportedMicros) {}

    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Set<String> slowJobs = new HashSet<>();
    private boolean isOnProbation;
    private long latestDoneStartMicros = -1;

    /** True if the machine may be at fault for failed tasks of some job. */
    public boolean isSuspect() {
        return !suspicions.isEmpty();
    }

    /** True while the machine is suspect and gets no tasks. */
    public boolean isQuarantined() {
        return isSuspect() && !isOnProbation;
    }

    /** True while the machine is suspect and gets tasks all the same. */
    public boolean isOnProbation() {
        return isSuspect() && isOnProbation;
    }

    /** True if the quarantine has to end, whether or not the fault has been attributed. */
    public boolean isQuarantineOver(long nowMicros) {
        if (!isQuarantined()) {
            return false;
        }
        long earliestMicros = nowMicros;
        for (Suspicion suspicion : suspicions.values()) {
            earliestMicros = Math.min(earliestMicros, suspicion.reportedMicros());
        }
        return nowMicros - earliestMicros >= QUARANTINE_MICROS;
    }

    /** Ends the quarantine. The next failure of another job shows that the machine is faulty. */
    public void startProbation() {
        isOnProbation = true;
    }

    /** Returns the ids of the jobs for whose failed tasks the machine may be at fault. */
    public Collection<String> suspicions() {
        return List.copyOf(suspicions.keySet());
    }

    /** True if the machine may be at fault for failed tasks of the job. */
    public boolean isSuspectFor(String uid) {
        return suspicions.containsKey(uid);
    }

    /** Records that the machine may be at fault for a failed task of the job. */
    public void addSuspicion(String uid, long startedMicros, long reportedMicros) {
        suspicions.putIfAbsent(uid, new Suspicion(startedMicros, reportedMicros));
    }

    /** Records that the machine is not at fault for failed tasks of the job. */
    public void clearSuspicion(String uid) {
        suspicions.remove(uid);
        isOnProbation &= isSuspect();
    }

    /**
     * Records that a task was done. A faulty machine fails all tasks that it starts, so the machine was sound when the
     * task started, and is not at fault for what failed of earlier ones.
     */
    public void recordDone(long startedMicros) {
        latestDoneStartMicros = Math.max(latestDoneStartMicros, startedMicros);
        suspicions.values().removeIf(suspicion -> isProvenSoundSince(suspicion.startedMicros()));
        isOnProbation &= isSuspect();
    }

    /** True if a task that started later than the given time was done. */
    public boolean isProvenSoundSince(long startedMicros) {
        return latestDoneStartMicros > startedMicros;
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
