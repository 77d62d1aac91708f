package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.placement.PriorityBand.Timeliness;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * The order in which waiting jobs are served. By default, the compiled plans of pipelines are served in admission order
 * (ADR 0006); priority classes, deadlines, guarantees and age override it by way of {@link PriorityBand}s. Guarded by
 * the cluster lock.
 */
final class QueueOrder {
    /** Jobs within a team's guarantee are raised to the guaranteed band once they have waited for longer than this. */
    private static final long GUARANTEE_BOOST_WAIT_MICROS = 2_000_000;
    /** Best-effort jobs with less slack than this are served together with late jobs of normal priority. */
    private static final long BEST_EFFORT_URGENT_MICROS = 20_000_000;
    /** A job that has not started by this age is served before all others. */
    private static final long MAX_START_AGE_MICROS = 120_000_000;
    /** From this age on, a job of any priority class is served no later than urgent work of normal priority. */
    private static final long PRIORITY_BOOST_AGE_MICROS = 150_000_000;
    /** A job of this age is served before all others although it has started. */
    private static final long MAX_AGE_MICROS = 300_000_000;
    /**
     * The band of jobs that a team's guarantee entitles to start. It follows the bands of high-priority jobs that can
     * still meet their deadlines: otherwise the two kinds of jobs would preempt each other's tasks in turn.
     */
    private static final PriorityBand GUARANTEED_BAND = PriorityBand.HIGH_LATE;

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final PlanningErrors errors;

    QueueOrder(Cluster cluster, ServiceLevelObjectives objectives, PlanningErrors errors) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.errors = errors;
    }

    /**
     * Returns the jobs with waiting tasks in the order in which they are served.
     *
     * @param guaranteed jobs within their team's guarantee
     */
    List<QueuedJob> queue(Set<ActiveJob> guaranteed, long wallMicros) {
        List<QueuedJob> queue = new ArrayList<>();
        for (ActiveJob job : cluster.jobs()) {
            if (job.waitingCount() > 0 && cluster.isLaunchable(job, wallMicros)) {
                errors.confine(job, wallMicros, () -> queue.add(queuedJob(job, guaranteed.contains(job), wallMicros)));
            }
        }
        queue.sort(Comparator.comparing(QueuedJob::priorityBand)
                .thenComparingLong(queued -> queued.job().planRevision()));
        return queue;
    }

    private QueuedJob queuedJob(ActiveJob job, boolean isGuaranteed, long wallMicros) {
        if (isAged(job, wallMicros)) {
            return new QueuedJob(job, PriorityBand.AGED, true);
        }
        long slackMicros = objectives.slackMicros(job, wallMicros);
        return new QueuedJob(
                job,
                priorityBand(job, slackMicros, isGuaranteed, wallMicros),
                Timeliness.ofSlack(slackMicros) == Timeliness.URGENT);
    }

    private static boolean isAged(ActiveJob job, long wallMicros) {
        long ageMicros = wallMicros - job.readyWallMicros();
        return ageMicros > MAX_AGE_MICROS || hasNotStarted(job) && ageMicros > MAX_START_AGE_MICROS;
    }

    private static boolean hasNotStarted(ActiveJob job) {
        return job.allocatedCount() == 0 && job.doneCount() == 0;
    }

    private PriorityBand priorityBand(ActiveJob job, long slackMicros, boolean isGuaranteed, long wallMicros) {
        PriorityClass priorityClass = job.effectivePriority();
        long ageMicros = wallMicros - job.readyWallMicros();
        PriorityBand band = PriorityBand.of(priorityClass, Timeliness.ofSlack(slackMicros));
        if (isGuaranteed
                && ageMicros > GUARANTEE_BOOST_WAIT_MICROS
                && (hasNotStarted(job) || ageMicros < 2 * objectives.guaranteedStartMicros())) {
            return band.earlierOf(GUARANTEED_BAND);
        }
        if (ageMicros > PRIORITY_BOOST_AGE_MICROS) {
            return band.earlierOf(PriorityBand.NORMAL_URGENT);
        }
        boolean isUrgentBestEffort = priorityClass == PriorityClass.BEST_EFFORT
                && slackMicros >= 0
                && slackMicros < BEST_EFFORT_URGENT_MICROS;
        return isUrgentBestEffort ? PriorityBand.NORMAL_LATE : band;
    }

    /** Returns true if the job is served no later than jobs in the guaranteed band. */
    static boolean isServedAsGuaranteed(QueuedJob queued) {
        return queued.priorityBand().isAtOrBefore(GUARANTEED_BAND);
    }

    /**
     * Returns the exclusive end index of the run of jobs that share the band of the job at {@code from}, limited to
     * {@code maxJobs} jobs.
     */
    static int endOfBand(List<QueuedJob> queue, int from, int maxJobs) {
        PriorityBand band = queue.get(from).priorityBand();
        int to = from;
        while (to < queue.size() && queue.get(to).priorityBand() == band && to - from < maxJobs) {
            to++;
        }
        return to;
    }
}
