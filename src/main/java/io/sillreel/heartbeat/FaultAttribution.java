package io.sillreel.heartbeat;

import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;

/**
 * Decides whether the machine or the job is at fault for a failed task. A single failure does not tell: a faulty
 * machine fails tasks of every job, a faulty job fails on every machine. Until the cause is known, the machine gets no
 * launches and the job is tried with one task on another machine.
 */
final class FaultAttribution {
    /** What is at fault for a failed task. */
    enum Fault {
        UNKNOWN,
        MACHINE,
        JOB
    }

    /** A job is at fault once its tasks have failed on so many machines that are not known to be faulty. */
    private static final int MIN_FAILED_MACHINES = 2;

    private FaultAttribution() {}

    /** Records that a task of the job failed on the machine, and attributes the fault. */
    static Fault attribute(ActiveJob job, Machine machine) {
        if (job.hasCompletedTask()) {
            return Fault.MACHINE;
        }
        machine.health().addSuspicion(job.uid());
        job.failedMachines().add(machine.name());
        if (machine.health().suspectingJobs().size() > 1) {
            return Fault.MACHINE;
        }
        return job.failedMachines().size() >= MIN_FAILED_MACHINES ? Fault.JOB : Fault.UNKNOWN;
    }
}
