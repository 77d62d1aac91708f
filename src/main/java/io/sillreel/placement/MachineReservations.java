package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reserves machines for aged jobs that currently fit nowhere. Without a reservation, small tasks would take each CPU as
 * it becomes free and starve large tasks, which need many free CPUs on one machine. Guarded by the cluster lock.
 */
final class MachineReservations {
    private static final int MAX_MACHINES_PER_JOB = 2;

    private final Cluster cluster;
    private final LaunchEligibility eligibility;
    private final PlacementPlan plan;
    private final long nowMicros;
    /** Schedulable machines, those with most free CPUs first; null until first needed. */
    private List<Machine> emptiestFirst;

    MachineReservations(Cluster cluster, LaunchEligibility eligibility, PlacementPlan plan, long nowMicros) {
        this.cluster = cluster;
        this.eligibility = eligibility;
        this.plan = plan;
        this.nowMicros = nowMicros;
    }

    /** Reserves up to two of the emptiest machines that the job allows and that are not reserved yet. */
    void reserve(QueuedJob queued) {
        JobSpec spec = queued.job().spec();
        int wanted = Math.min(queued.remainingTasks(), MAX_MACHINES_PER_JOB);
        for (Machine machine : emptiestFirst()) {
            if (wanted == 0) {
                return;
            }
            cluster.countSteps(1);
            if (PlacementConstraints.isEligible(spec, machine)
                    && !queued.job().failures().excludes(machine.name())
                    && cluster.zoneHeadroom(queued.job(), machine.zone()) > 0
                    && !plan.reservations().containsKey(machine.name())
                    && PlacementConstraints.fitsEmptyMachine(spec, machine.type())) {
                plan.reservations().put(machine.name(), queued);
                wanted--;
            }
        }
    }

    private List<Machine> emptiestFirst() {
        if (emptiestFirst == null) {
            emptiestFirst = new ArrayList<>();
            for (Machine machine : cluster.machines()) {
                if (eligibility.isSchedulable(machine, nowMicros)) {
                    emptiestFirst.add(machine);
                }
            }
            emptiestFirst.sort(Comparator.<Machine>comparingDouble(machine -> -machine.freeCpus())
                    .thenComparing(Machine::name));
        }
        return emptiestFirst;
    }
}
