package io.sillreel.heartbeat;

import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;

/**
 * Decides whether the machine or the job is at fault for a failed task. A single failure is inconclusive: a faulty
 * machine fails tasks of every job, a faulty job fails on every machine. Until the fault is attributed, the machine
 * gets no launches and the job is retried with one task on another machine.
 */
final class FaultAttribution {
    /** The cause of a task failure. */
    enum Fault {
        UNKNOWN,
        MACHINE,
        JOB
    }

    /** Number of machines, none of them known to be faulty, on which tasks of a job fail before the job is at fault. */
    private static final int MIN_FAILED_MACHINES = 2;

    private FaultAttribution() {}

    /** Records that a task of the job failed on the machine, and attributes the fault. */
    static Fault attribute(ActiveJob job, Machine machine) {
        if (job.hasCompletedTask()) {
            return Fault.MACHINE;
        }
        machine.health().addSuspicion(job.uid());
        job.failedMachines().add(machine.name());
        if (machine.health().suspicions().size() > 1) {
            return Fault.MACHINE;
        }
        return job.failedMachines().size() >= MIN_FAILED_MACHINES ? Fault.JOB : Fault.UNKNOWN;
    }
}
