package io.sillreel.admission;

import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Team;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/** Checks whether a job could ever run, regardless of the load of the cluster. */
final class JobFeasibility {
    private JobFeasibility() {}

    /** Returns a message for the user about why the job can never run; empty if it can. */
    static Optional<String> infeasibilityReason(
            JobSpec spec, Map<String, Team> teams, Collection<MachineType> machineTypes) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return Optional.of("crew: there is no team " + spec.team());
        }
        if (exceedsLimit(spec.cpus(), team.maxCpus()) || exceedsLimit(spec.gpus(), team.maxGpus())) {
            return Optional.of("one task needs more than the limit of team " + spec.team());
        }
        if (spec.zoneAffinity() && spec.maxTasksPerZone() < spec.tasks()) {
            return Optional.of("one_zone and spread exclude each other");
        }
        for (MachineType machineType : machineTypes) {
            if (isUsable(machineType, spec)) {
                return Optional.empty();
            }
        }
        return Optional.of("a task fits no allowed machine type");
    }

    private static boolean exceedsLimit(double amount, double limit) {
        return limit > 0 && amount > limit;
    }

    private static boolean isUsable(MachineType machineType, JobSpec spec) {
        return spec.allowsMachineType(machineType.name())
                && machineType.zones().stream().anyMatch(spec::allowsZone)
                && spec.cpus() <= machineType.cpus()
                && spec.gpus() <= machineType.gpus()
                && spec.ramGb() <= machineType.ramGb();
    }
}
