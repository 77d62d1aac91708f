package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Computes how many CPUs are needed to finish the unfinished work by its deadlines. Work is served by priority class,
 * then by deadline, and each class reserves CPUs for work that arrives in higher classes. Guarded by the cluster lock.
 */
final class DeadlineWorkload {
    /** Average remaining fraction of a running task. */
    private static final double RUNNING_TASK_REMAINING_FRACTION = 0.5;
    /** A job that is bound to be late is given time for this many of its tasks in sequence. */
    private static final int LATE_JOB_SEQUENTIAL_TASKS = 2;

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final RuntimeEstimator runtimeEstimator;
    private final ArrivingDemand arrivingDemand;
    private final CpuEquivalents cpuEquivalents;
    private final PlanningErrors errors;

    DeadlineWorkload(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            RuntimeEstimator runtimeEstimator,
            ArrivingDemand arrivingDemand,
            CpuEquivalents cpuEquivalents,
            PlanningErrors errors) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.runtimeEstimator = runtimeEstimator;
        this.arrivingDemand = arrivingDemand;
        this.cpuEquivalents = cpuEquivalents;
        this.errors = errors;
    }

    /** Returns the CPUs with which all unfinished work would meet its deadlines. */
    double requiredCpus(long wallMicros) {
        DueWork dueWork = new DueWork();
        double required = 0;
        for (Load load : loads(wallMicros, 0)) {
            dueWork.add(load);
            double cpuMicros = dueWork.cpuMicrosWithin(load.remainingMicros());
            required = Math.max(required, load.reservedCpus() + cpuMicros / load.remainingMicros());
        }
        return required;
    }

    /**
     * Returns the CPUs to add so that new machines, once they are up, complete the work that the available ones can't
     * complete in time.
     *
     * @param availableCpus CPUs that are or will soon be available
     * @param bootMicros time until new machines are up
     * @param onlyReachableDeadlines true to consider only deadlines that new machines can still help to meet
     */
    double missingCpus(double availableCpus, long bootMicros, boolean onlyReachableDeadlines, long wallMicros) {
        DueWork dueWork = new DueWork();
        double missing = 0;
        for (Load load : loads(wallMicros, onlyReachableDeadlines ? bootMicros : 0)) {
            dueWork.add(load);
            double cpuMicros = dueWork.cpuMicrosWithin(load.remainingMicros());
            double excessCpuMicros = cpuMicros - (availableCpus - load.reservedCpus()) * load.remainingMicros();
            if (excessCpuMicros > 0) {
                long usableMicros = load.remainingMicros() - bootMicros;
                missing = Math.max(
                        missing, excessCpuMicros / Math.max(usableMicros, onlyReachableDeadlines ? 1 : bootMicros));
            }
        }
        return missing;
    }

    /**
     * Returns the unfinished work in the order in which it is served, by machines that are up after {@code bootMicros}.
     */
    private List<Load> loads(long wallMicros, long bootMicros) {
        Map<PriorityClass, Double> reservedCpus = reservedCpus(wallMicros);
        List<Load> loads = new ArrayList<>();
        for (ActiveJob job : cluster.jobs()) {
            boolean isDue = wallMicros >= job.nextAttemptWallMicros() && !job.isPlanningSuspended(wallMicros);
            if (isDue && !job.isCancelled() && !job.hasUnmetDependencies()) {
                double reserved = reservedCpus.get(job.effectivePriority());
                errors.confine(job, wallMicros, () -> loads.add(load(job, reserved, wallMicros, bootMicros)));
            }
        }
        loads.sort(Comparator.comparing(Load::priorityClass).thenComparingLong(Load::remainingMicros));
        return loads;
    }

    /** Returns for each priority class the CPUs that arriving work of higher classes takes. */
    private Map<PriorityClass, Double> reservedCpus(long wallMicros) {
        Map<PriorityClass, Double> reservedCpus = new EnumMap<>(PriorityClass.class);
        double higherClassCpus = 0;
        for (PriorityClass priorityClass : PriorityClass.values()) {
            reservedCpus.put(priorityClass, higherClassCpus);
            higherClassCpus += arrivingDemand.cpusOf(priorityClass, wallMicros);
        }
        return reservedCpus;
    }

    private Load load(ActiveJob job, double reservedCpus, long wallMicros, long bootMicros) {
        double taskCpus = cpuEquivalents.ofTask(job.spec());
        long taskMicros = runtimeEstimator.occupancyMicros(job);
        double tasks = job.waitingCount() + RUNNING_TASK_REMAINING_FRACTION * job.allocatedCount();
        // Half a task is subtracted: tasks are indivisible, so the time before the deadline can't be used completely.
        long remainingMicros = objectives.deadlineMicros(job, wallMicros, bootMicros) - wallMicros - taskMicros / 2;
        if (remainingMicros < bootMicros + taskMicros) {
            // The job will be late in any case. It should complete soon, but without one machine for each of its tasks.
            remainingMicros = bootMicros > 0 ? bootMicros + LATE_JOB_SEQUENTIAL_TASKS * taskMicros : taskMicros;
        }
        double parallelCpus = (job.waitingCount() + job.allocatedCount()) * taskCpus;
        return new Load(
                job.effectivePriority(),
                tasks * taskCpus * taskMicros,
                parallelCpus,
                taskMicros,
                remainingMicros,
                reservedCpus);
    }
}
