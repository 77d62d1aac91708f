package io.sillreel.cluster;

import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Team;

/** Computes how many tasks of a job may run in addition before its team exceeds its quota. */
final class TeamQuota {
    private TeamQuota() {}

    /** Returns how many more tasks of the job the team may run. */
    static int remainingTasks(Team team, QuotaUsage.Amount used, JobSpec spec) {
        return Math.min(
                remainingTasks(team.maxCpus(), used.cpus(), spec.cpus()),
                remainingTasks(team.maxGpus(), used.gpus(), spec.gpus()));
    }

    /**
     * The quota is rounded down and the amount of a task is rounded up, so a single task that takes all of the quota
     * seems not to fit. It may run while the team runs nothing else.
     */
    private static int remainingTasks(double quota, long usedMilli, double perTask) {
        if (quota <= 0 || perTask <= 0) {
            return Integer.MAX_VALUE;
        }
        long remaining = (QuotaUsage.toMilliRoundedDown(quota) - usedMilli) / QuotaUsage.toMilli(perTask);
        long minimum = usedMilli == 0 && perTask <= quota ? 1 : 0;
        return (int) Math.max(minimum, Math.min(Integer.MAX_VALUE, remaining));
    }
}
