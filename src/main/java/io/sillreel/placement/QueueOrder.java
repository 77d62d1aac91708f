package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.settings.Settings.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The order in which waiting jobs are served: the compiled one, earlier-admitted pipelines first, with ranks,
 * guarantees and age as the exceptions.
 */
final class QueueOrder {
    /** How long guaranteed work waits on others before it goes ahead of them. */
    private static final long GUARANTEE_PATIENCE_MICROS = 2_000_000;

    private static final int BANDS_PER_PRIORITY = 3;
    private static final int PRESSING = 0;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;
    /** A low rank yields until its work has so little time left to start. */
    private static final long URGENT_MICROS = 20_000_000;
    /** Work with less time than this does not wait for a place that has its image. */
    private static final long PRESSING_MICROS = 15_000_000;
    /** No exception holds a job up for longer: one that has not begun by then goes before all others. */
    private static final long BEGIN_BY_MICROS = 120_000_000;
    /**
     * Nor keeps one that has begun from its end: from some age on it is served like normal work, at last before all.
     */
    private static final long YIELD_UNTIL_MICROS = 150_000_000;

    private static final long END_BY_MICROS = 300_000_000;
    private static final int OWED_BAND = bandOf(PriorityClass.HIGH, LATE);

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;

    QueueOrder(Cluster cluster, ServiceLevelObjectives objectives) {
        this.cluster = cluster;
        this.objectives = objectives;
    }

    /** Waiting jobs in the order in which they are served. */
    List<QueuedJob> queue(Set<ActiveJob> guaranteed, long wallMicros) {
        List<QueuedJob> queue = new ArrayList<>();
        for (ActiveJob job : cluster.jobs()) {
            if (job.waitingCount() > 0 && cluster.isLaunchable(job, wallMicros)) {
                long slack = objectives.slackMicros(job, wallMicros);
                boolean aged = isAged(job, wallMicros);
                queue.add(new QueuedJob(
                        job,
                        aged ? 0 : priorityBand(job, slack, guaranteed.contains(job), wallMicros),
                        aged || slack >= 0 && slack < PRESSING_MICROS,
                        aged));
            }
        }
        queue.sort(Comparator.<QueuedJob>comparingInt(queued -> queued.priorityBand)
                .thenComparingLong(queued -> queued.job.planRevision()));
        return queue;
    }

    /** No exception from the order of admission lasts for ever: such a job goes before all that came after it. */
    private static boolean isAged(ActiveJob job, long wallMicros) {
        long age = wallMicros - job.readyWallMicros();
        return age > END_BY_MICROS || hasNotStarted(job) && age > BEGIN_BY_MICROS;
    }

    private static boolean hasNotStarted(ActiveJob job) {
        return job.allocatedCount() == 0 && job.doneCount() == 0;
    }

    /**
     * The exceptions from the order of admission: ranks; guaranteed work that waits too long; within a rank, work that
     * is about to miss its time, before the rest, and work that has missed it, after the rest; work of a low rank that
     * would miss its time if it yielded any longer. Level 0 is for what has waited too long.
     */
    private int priorityBand(ActiveJob job, long slack, boolean guaranteed, long wallMicros) {
        PriorityClass rank = job.effectivePriority();
        long age = wallMicros - job.readyWallMicros();
        int level = bandOf(rank, slack < 0 ? LATE : slack < PRESSING_MICROS ? PRESSING : IN_TIME);
        if (guaranteed
                && age > GUARANTEE_PATIENCE_MICROS
                && (hasNotStarted(job) || age < 2 * objectives.guaranteedStartMicros())) {
            return Math.min(level, OWED_BAND);
        }
        if (age > YIELD_UNTIL_MICROS) {
            return Math.min(level, bandOf(PriorityClass.NORMAL, PRESSING));
        }
        return rank == PriorityClass.BEST_EFFORT && slack >= 0 && slack < URGENT_MICROS
                ? bandOf(PriorityClass.NORMAL, LATE)
                : level;
    }

    /**
     * True if the job is served no later than owed work is, which stands behind what the high rank can still do in
     * time: else each would stop the other's tasks in turn.
     */
    static boolean isOwedBand(QueuedJob queued) {
        return queued.priorityBand <= OWED_BAND;
    }

    private static int bandOf(PriorityClass rank, int time) {
        return 1 + BANDS_PER_PRIORITY * rank.ordinal() + time;
    }

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
    Set<ActiveJob> guaranteed() {
        QuotaUsage claimed = new QuotaUsage();
        Set<ActiveJob> within = new HashSet<>();
        List<ActiveJob> jobs = new ArrayList<>(cluster.jobs());
        jobs.sort(Comparator.comparingLong(ActiveJob::planRevision));
        for (ActiveJob job : jobs) {
            Team team = cluster.team(job.spec().team());
            if (job.isCancelled() || job.hasUnmetDependencies() || team == null) {
                continue;
            }
            claimed.add(job.spec(), job.spec().tasks());
            QuotaUsage.Amount sum = claimed.ofTeam(job.spec().team());
            if (sum.cpus() <= QuotaUsage.toMilli(team.guaranteedCpus())
                    && sum.gpus() <= QuotaUsage.toMilli(team.guaranteedGpus())) {
                within.add(job);
            }
        }
        return within;
    }
}
