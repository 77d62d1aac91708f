package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The guaranteed resources of the teams during one plan: the jobs covered by them, and the CPUs that each team uses in
 * excess of its guarantee. Guarded by the cluster lock.
 */
final class TeamGuarantees {
    private final Cluster cluster;
    /** CPUs that each team uses in excess of its guarantee, in thousandths; entries are computed on first use. */
    private final Map<String, Long> excessMilliCpus = new HashMap<>();

    private final Set<ActiveJob> coveredJobs;

    TeamGuarantees(Cluster cluster, PlanningErrors errors, long wallMicros) {
        this.cluster = cluster;
        this.coveredJobs = coveredJobs(cluster, errors, wallMicros);
    }

    /**
     * Finds the jobs that fit into their team's guarantee together with the team's unfinished jobs admitted earlier.
     */
    private static Set<ActiveJob> coveredJobs(Cluster cluster, PlanningErrors errors, long wallMicros) {
        QuotaUsage claimed = new QuotaUsage();
        Set<ActiveJob> covered = new HashSet<>();
        List<ActiveJob> jobs = new ArrayList<>(cluster.jobs());
        jobs.sort(Comparator.comparingLong(ActiveJob::planRevision));
        for (ActiveJob job : jobs) {
            Team team = cluster.team(job.spec().team());
            boolean isWanted =
                    !job.isCancelled() && !job.hasUnmetDependencies() && !job.isPlanningSuspended(wallMicros);
            if (isWanted && team != null) {
                errors.confine(job, wallMicros, () -> {
                    claimed.add(job.spec(), job.spec().tasks());
                    if (isWithinGuarantee(claimed.ofTeam(job.spec().team()), team)) {
                        covered.add(job);
                    }
                });
            }
        }
        return covered;
    }

    private static boolean isWithinGuarantee(QuotaUsage.Amount claimed, Team team) {
        return claimed.cpus() <= QuotaUsage.toMilli(team.guaranteedCpus())
                && claimed.gpus() <= QuotaUsage.toMilli(team.guaranteedGpus());
    }

    /** Returns the jobs that are within their team's guarantee; not to be modified. */
    Set<ActiveJob> coveredJobs() {
        return coveredJobs;
    }

    /** Returns true if the job is within its team's guarantee. */
    boolean covers(ActiveJob job) {
        return coveredJobs.contains(job);
    }

    /** Returns true if the team uses at least its guarantee even without one of the job's tasks. */
    boolean isExcess(JobSpec spec) {
        return excessMilliCpus(spec.team()) >= QuotaUsage.toMilli(spec.cpus());
    }

    /** Records that a task of the job will be preempted. */
    void recordPreempted(JobSpec spec) {
        excessMilliCpus.put(spec.team(), excessMilliCpus(spec.team()) - QuotaUsage.toMilli(spec.cpus()));
    }

    private long excessMilliCpus(String team) {
        Long excess = excessMilliCpus.get(team);
        if (excess == null) {
            Team settings = cluster.team(team);
            excess = cluster.allocationIndex().usage().ofTeam(team).cpus()
                    - QuotaUsage.toMilli(settings == null ? 0 : settings.guaranteedCpus());
            excessMilliCpus.put(team, excess);
        }
        return excess;
    }
}
