package io.sillreel.heartbeat;

import io.sillreel.cluster.Machine;
import io.sillreel.cluster.MachineHealth;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobFailures;

/**
 * Decides whether the machine or the job is at fault for a failed task. A single failure is inconclusive: a faulty
 * machine fails tasks of every job, a faulty job fails on every machine. Until the fault is attributed, the machine is
 * in quarantine and the job is retried with one task on another machine. Both end after a while without evidence, since
 * the job may be cancelled or may have no other machine ({@link SuspicionReview}).
 */
final class FaultAttribution {
    /** The cause of a task failure. */
    enum Fault {
        UNKNOWN,
        MACHINE,
        JOB,
        /** The job's attempt has been counted as failed already. */
        COUNTED
    }

    /** Number of machines, none of them suspected by other jobs, on which tasks of a job fail if it is at fault. */
    private static final int MIN_FAILED_MACHINES = 2;
    /** Number of machines, suspected by other jobs or not, on which tasks of a job fail if it is at fault. */
    private static final int MIN_FAILED_OR_SUSPECT_MACHINES = 3;

    private FaultAttribution() {}

    /**
     * Records that a task of the job failed on the machine, and attributes the fault.
     *
     * @param startedMicros when the task started, at the latest
     */
    static Fault attribute(ActiveJob job, Machine machine, long startedMicros, long nowMicros, long wallMicros) {
        MachineHealth health = machine.health();
        JobFailures failures = job.failures();
        if (wallMicros < job.nextAttemptWallMicros()) {
            return Fault.COUNTED;
        }
        boolean isRepetition = failures.isRepetition(machine.name());
        boolean isProvenSound = health.isProvenSoundSince(startedMicros);
        // Tasks of the job were done, so it is not at fault, unless it goes on failing on other machines.
        if (job.hasCompletedTask() && !isRepetition && !isProvenSound && !failures.isMachineBlamed()) {
            failures.recordMachineBlamed();
            return Fault.MACHINE;
        }
        failures.add(machine.name(), startedMicros);
        // A job that is known to fail raises no suspicion: its next failures are its own.
        if (isRepetition || isProvenSound || job.failedAttempts() > 0) {
            return Fault.JOB;
        }
        boolean isOnProbation = health.isOnProbation();
        health.addSuspicion(job.uid(), startedMicros, nowMicros);
        if (health.suspicions().size() > 1) {
            if (isOnProbation) {
                return Fault.MACHINE;
            }
            failures.markMachineSuspect(machine.name());
        }
        return isJobAtFault(failures) ? Fault.JOB : Fault.UNKNOWN;
    }

    private static boolean isJobAtFault(JobFailures failures) {
        return failures.unexplainedCount() >= MIN_FAILED_MACHINES
                || failures.unresolvedCount() >= MIN_FAILED_OR_SUSPECT_MACHINES;
    }
}
