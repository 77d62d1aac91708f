package io.sillreel.cluster;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Team;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's state of jobs and machines during one term, and the limits on where a task may start. All access is
 * under the object's own lock, which is held for one heartbeat or one planning cycle and never across I/O.
 */
public final class Cluster {
    private final Map<String, Team> teams;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final AllocationIndex allocationIndex = new AllocationIndex();
    private final UnreconciledMachines unreconciledMachines = new UnreconciledMachines();

    private long stepCount;

    /**
     * Creates a cluster without jobs and machines.
     *
     * @param teams the teams and their quotas by name
     */
    public Cluster(Map<String, Team> teams) {
        this.teams = teams;
    }

    /** Returns the job, or null if it is unknown or finished. */
    public ActiveJob job(String uid) {
        return jobs.get(uid);
    }

    /** Returns a view of the jobs that are not finished. */
    public Collection<ActiveJob> jobs() {
        return jobs.values();
    }

    public void add(ActiveJob job) {
        jobs.put(job.uid(), job);
    }

    public void remove(ActiveJob job) {
        jobs.remove(job.uid());
    }

    /** Returns the machine, or null if it is not in the fleet. */
    public Machine machine(String name) {
        return machines.get(name);
    }

    /** Returns a view of the machines of the fleet. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    public void add(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /**
     * Adds a machine of an earlier term. It may hold tasks of that term until it is reconciled or its lease expires.
     */
    public void addInherited(Machine machine) {
        machine.markInherited();
        add(machine);
        if (machine.mayHoldInheritedTasks()) {
            unreconciledMachines.add(machine);
        }
    }

    public void remove(Machine machine) {
        machines.remove(machine.name());
        unreconciledMachines.remove(machine);
    }

    /** Records that all tasks of an earlier term on the machine are known. */
    public void markReconciled(Machine machine) {
        unreconciledMachines.remove(machine);
    }

    /** Returns the live allocations of all machines by job. */
    public AllocationIndex allocationIndex() {
        return allocationIndex;
    }

    /**
     * Returns how many steps planning cycles and heartbeats have taken so far. Tests use it to show that the cost does
     * not grow with the number of unrelated machines.
     */
    public long stepCount() {
        return stepCount;
    }

    /** Counts steps of a planning cycle or of processing a heartbeat. */
    public void countSteps(long steps) {
        stepCount += steps;
    }

    /** Returns the team, or null if there is none of that name. */
    public Team team(String name) {
        return teams.get(name);
    }

    /** Returns the machines that may hold tasks of an earlier term that no heartbeat has shown yet. */
    public Collection<Machine> unreconciledMachines() {
        return unreconciledMachines.machines();
    }

    /** True once no machine can hold undiscovered tasks of an earlier term. */
    public boolean allReconciled() {
        return unreconciledMachines.isEmpty();
    }

    /** Returns a copy of each team's quota usage. A task counts until it has certainly ended. */
    public QuotaUsage quotaUsage() {
        QuotaUsage usage = allocationIndex.usage().copy();
        if (!unreconciledMachines.isEmpty()) {
            addWorstCase(usage);
        }
        return usage;
    }

    /** Adds all waiting tasks of inherited jobs, as if they all ran on unreconciled machines. */
    private void addWorstCase(QuotaUsage usage) {
        QuotaUsage undiscovered = new QuotaUsage();
        for (ActiveJob job : jobs.values()) {
            if (job.isInherited()) {
                undiscovered.add(job.spec(), job.waitingCount());
            }
        }
        usage.addCapped(undiscovered, unreconciledMachines.cpus(), unreconciledMachines.gpus());
    }

    /** Returns how many more tasks of the job the quota of its team allows. */
    public int quotaHeadroom(JobSpec spec, QuotaUsage usage) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return 0;
        }
        return TeamQuota.remainingTasks(team, usage.ofTeam(spec.team()), spec);
    }

    /**
     * True if tasks of the job may be launched now. Tasks of an inherited job must not be launched while an
     * unreconciled machine could hold them, since they might run twice.
     */
    public boolean isLaunchable(ActiveJob job, long wallMicros) {
        return job.isReleased()
                && !job.isCancelled()
                && !job.isComplete()
                && wallMicros >= job.nextAttemptWallMicros()
                && !job.isPlanningSuspended(wallMicros)
                && (!job.isInherited() || !unreconciledMachines.mayHoldTasksOf(job.spec()));
    }

    /** Returns how many more tasks of the job may start in the zone, given where its live tasks are. */
    public int zoneHeadroom(ActiveJob job, String zone) {
        JobSpec spec = job.spec();
        if (!spec.zoneAffinity() && !spec.zoneAntiAffinity()) {
            return Integer.MAX_VALUE;
        }
        int inZone = 0;
        int elsewhere = 0;
        for (Allocation allocation : allocationIndex.ofJob(job)) {
            if (allocation.machine().zone().equals(zone)) {
                inZone++;
            } else {
                elsewhere++;
            }
        }
        if (spec.zoneAffinity() && elsewhere > 0) {
            return 0;
        }
        return spec.maxTasksPerZone() - inZone;
    }
}
