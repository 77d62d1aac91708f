package io.sillreel.heartbeat;

import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;

/**
 * Whose fault a failed task is. A task that fails says nothing by itself: a faulty machine fails tasks of every job, a
 * mistaken job fails on every machine. Until it is known, the machine gets nothing new and the job one task elsewhere.
 */
final class FaultAttribution {
    /** Who is at fault for a failed task. */
    enum Fault {
        UNKNOWN,
        MACHINE,
        JOB
    }

    /** So many machines, none of them known to be faulty, must have failed a job before it is blamed. */
    private static final int MIN_FAILED_MACHINES = 2;

    private FaultAttribution() {}

    /** Judges a task of the job that failed on the machine. */
    static Fault attribute(ActiveJob job, Machine machine) {
        if (job.hasSucceededOnce()) {
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
