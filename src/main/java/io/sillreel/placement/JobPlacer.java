package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.JobFailures;
import io.sillreel.pipeline.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Places tasks of waiting jobs on machines during one planning cycle. Guarded by the cluster lock. */
final class JobPlacer {
    private final Cluster cluster;
    private final PlacementIndex index;
    private final PlacementPlan plan;
    /** Quota usage of the teams, including tasks that the plan has placed. */
    private final QuotaUsage usage;

    JobPlacer(Cluster cluster, PlacementIndex index, PlacementPlan plan) {
        this.cluster = cluster;
        this.index = index;
        this.plan = plan;
        this.usage = cluster.quotaUsage();
    }

    /**
     * Places as many of the job's remaining tasks as quota, zone limits and free capacity allow.
     *
     * @param onlyWithImage true to use only machines that already have the job's image
     * @return number of tasks that found no capacity, without those held back by the quota
     */
    int place(QueuedJob queued, boolean onlyWithImage) {
        JobSpec spec = queued.job().spec();
        int wanted = Math.min(queued.launchableTasks(), cluster.quotaHeadroom(spec, usage));
        if (wanted <= 0) {
            return 0;
        }
        TaskPlacement placement = new TaskPlacement(queued, wanted);
        index.visitMachines(spec, queued.remainingTasks(), onlyWithImage, placement);
        if (!placement.isSatisfied()
                && !onlyWithImage
                && queued.job().failures().mayBeRepeated()) {
            placement.allowRepetition();
            index.visitMachines(spec, queued.remainingTasks(), false, placement);
        }
        return queued.isProbing() ? 0 : placement.wantedTasks;
    }

    /** Places tasks of one job within its zone limits and the plan's reservations. */
    private final class TaskPlacement implements PlacementIndex.MachineVisitor {
        private final QueuedJob queued;
        private final JobSpec spec;
        private final Map<String, Integer> zoneHeadroom = new HashMap<>();
        private int wantedTasks;
        /** True if machines that the job avoids may be used, unless they are excluded. */
        private boolean isRepetitionAllowed;
        /** Zone of the tasks placed so far; with zone affinity the remaining tasks have to use it too. */
        private String zoneOfTasks;

        TaskPlacement(QueuedJob queued, int wantedTasks) {
            this.queued = queued;
            this.spec = queued.job().spec();
            this.wantedTasks = wantedTasks;
        }

        void allowRepetition() {
            isRepetitionAllowed = true;
        }

        private boolean mayUse(String machine) {
            JobFailures failures = queued.job().failures();
            return isRepetitionAllowed ? !failures.excludes(machine) : !failures.avoids(machine);
        }

        @Override
        public boolean isSatisfied() {
            return wantedTasks == 0;
        }

        @Override
        public boolean isZoneExcluded(String zone) {
            return spec.zoneAffinity() && zoneOfTasks != null && !zoneOfTasks.equals(zone) || headroom(zone) <= 0;
        }

        private int headroom(String zone) {
            return zoneHeadroom.computeIfAbsent(zone, name -> cluster.zoneHeadroom(queued.job(), name));
        }

        @Override
        public boolean place(FreeCapacity capacity) {
            String machine = capacity.machine().name();
            if (plan.isReservedForOther(machine, queued) || !mayUse(machine)) {
                return false;
            }
            String zone = capacity.machine().zone();
            int headroom = headroom(zone);
            int count = Math.min(wantedTasks, Math.min(capacity.fittingTasks(spec), headroom));
            zoneOfTasks = zone;
            zoneHeadroom.put(zone, headroom == Integer.MAX_VALUE ? headroom : headroom - count);
            capacity.allocate(spec, count);
            usage.add(spec, count);
            wantedTasks -= count;
            queued.recordPlaced(count);
            plan.addLaunch(machine, new TaskAssignment(queued.job(), count));
            return true;
        }
    }
}
