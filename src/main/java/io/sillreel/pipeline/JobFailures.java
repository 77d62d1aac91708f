package io.sillreel.pipeline;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks of a job have failed since a task of it was last done. Failures are unresolved until they
 * are attributed to the job or to the machine. Guarded by the cluster lock, as is all state of an {@link ActiveJob}
 * that concerns its tasks.
 */
public final class JobFailures {
    /** What follows from a failure on a machine until the fault is attributed. */
    private enum Status {
        /** The job or the machine may be at fault: the job is tried with one task at a time, elsewhere. */
        UNEXPLAINED,
        /** Other jobs have failed on the machine too: the job runs as usual, elsewhere. */
        MACHINE_SUSPECT,
        /** As unexplained, but if no other machine can be had, the job may be tried on this one again. */
        RETRIABLE
    }

    private final Map<String, Status> unresolved = new LinkedHashMap<>();
    /** Machines on which failures were attributed to the job. */
    private final Set<String> attributed = new HashSet<>();
    /** Machines that have refused a task although they seemed to have room. */
    private final Set<String> refusing = new HashSet<>();
    /** Start of the first failed task by machine, in microseconds of the event loop. */
    private final Map<String, Long> firstStartMicros = new HashMap<>();

    private boolean isMachineBlamed;
    private int attributedAttempts;

    /**
     * Records the failure of a task on a machine.
     *
     * @param startedMicros when the task started, at the latest
     */
    public void add(String machine, long startedMicros) {
        unresolved.put(machine, Status.UNEXPLAINED);
        firstStartMicros.putIfAbsent(machine, startedMicros);
    }

    /** Records that other jobs have failed on the machine as well. */
    public void markMachineSuspect(String machine) {
        unresolved.replace(machine, Status.MACHINE_SUSPECT);
    }

    /** Permits to try the job on the machine again. */
    public void allowRetry(String machine) {
        unresolved.replace(machine, Status.RETRIABLE);
    }

    /** Forgets the failures on a machine that turned out to be at fault. */
    public void forget(String machine) {
        unresolved.remove(machine);
        attributed.remove(machine);
        firstStartMicros.remove(machine);
    }

    /** Records that the machine has refused a task, so that others are preferred. */
    public void addRefusal(String machine) {
        refusing.add(machine);
    }

    /** Records that a machine is considered faulty on account of this job alone. */
    public void recordMachineBlamed() {
        isMachineBlamed = true;
    }

    /** True if a machine is considered faulty on account of this job alone, since a task of the job was done. */
    public boolean isMachineBlamed() {
        return isMachineBlamed;
    }

    /** Forgets all failures, since a task of the job was done. */
    void clear() {
        unresolved.clear();
        attributed.clear();
        refusing.clear();
        firstStartMicros.clear();
        isMachineBlamed = false;
        attributedAttempts = 0;
    }

    /** Attributes all failures that are not attributed yet to the job. */
    public void attributeToJob() {
        attributed.addAll(unresolved.keySet());
        unresolved.clear();
        attributedAttempts++;
    }

    /** Returns how many attempts this leader has attributed to the job; those of earlier terms show no machine. */
    public int attributedAttempts() {
        return attributedAttempts;
    }

    /** True if the job has to be tried with one task at a time. */
    public boolean areUnexplained() {
        return unresolved.containsValue(Status.UNEXPLAINED) || unresolved.containsValue(Status.RETRIABLE);
    }

    /** True if no task of the job may be launched on the machine. */
    public boolean excludes(String machine) {
        Status status = unresolved.get(machine);
        return status == Status.UNEXPLAINED || status == Status.MACHINE_SUSPECT;
    }

    /** True if other machines are preferred: the job has failed on this one, whoever is at fault, or was refused. */
    public boolean avoids(String machine) {
        return unresolved.containsKey(machine) || attributed.contains(machine) || refusing.contains(machine);
    }

    /** True if a machine that the job avoids is not excluded. */
    public boolean mayBeRepeated() {
        return unresolved.containsValue(Status.RETRIABLE) || !attributed.isEmpty() || !refusing.isEmpty();
    }

    /** True if the failures on the machine are not attributed yet. */
    public boolean isUnresolved(String machine) {
        return unresolved.containsKey(machine);
    }

    /** True if the next failure on the machine is attributed to the job: it was tried there before, with one task. */
    public boolean isRepetition(String machine) {
        return unresolved.get(machine) == Status.RETRIABLE || attributed.contains(machine);
    }

    /** True if failures were attributed to the job on this machine, and on no other. */
    public boolean areAttributedOnlyOn(String machine) {
        return attributed.size() == 1 && attributed.contains(machine);
    }

    /** Returns when the first task that failed on the machine started, at the latest; the job has failed on it. */
    public long firstStartMicros(String machine) {
        return firstStartMicros.get(machine);
    }

    /** Returns the number of machines with failures that are not attributed yet. */
    public int unresolvedCount() {
        return unresolved.size();
    }

    /** Returns the number of these machines on which no other job has failed. */
    public int unexplainedCount() {
        int count = 0;
        for (Status status : unresolved.values()) {
            count += status == Status.MACHINE_SUSPECT ? 0 : 1;
        }
        return count;
    }

    /** Returns the names of the machines with failures that are not attributed yet. */
    public Collection<String> unresolvedMachines() {
        return List.copyOf(unresolved.keySet());
    }
}
