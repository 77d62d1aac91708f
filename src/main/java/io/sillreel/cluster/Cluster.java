package io.sillreel.cluster;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Team;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the lease leader knows of jobs and machines, and the rules of where a task may start. All access is under the
 * object's own lock, which is held for one report or one tick and never across I/O.
 */
public final class Cluster {
    private final Map<String, Team> teams;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final AllocationIndex allocationIndex = new AllocationIndex();
    private final UnreconciledMachines unreconciledMachines = new UnreconciledMachines();

    private long stepCount;

    public Cluster(Map<String, Team> teams) {
        this.teams = teams;
    }

    public ActiveJob job(String uid) {
        return jobs.get(uid);
    }

    public Collection<ActiveJob> jobs() {
        return jobs.values();
    }

    public void add(ActiveJob job) {
        jobs.put(job.uid(), job);
    }

    public void remove(ActiveJob job) {
        jobs.remove(job.uid());
    }

    public Machine machine(String name) {
        return machines.get(name);
    }

    public Collection<Machine> machines() {
        return machines.values();
    }

    public void add(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /** A machine of an earlier term: until it is heard, or its bound has passed, it may hold that term's tasks. */
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

    /** Nothing of an earlier term is hidden on the machine any more. */
    public void markReconciled(Machine machine) {
        unreconciledMachines.remove(machine);
    }

    public AllocationIndex allocationIndex() {
        return allocationIndex;
    }

    /**
     * Steps of planning and of reports so far: what they cost must not grow with machines that have nothing to do with
     * them.
     */
    public long stepCount() {
        return stepCount;
    }

    public void countSteps(long steps) {
        stepCount += steps;
    }

    public Team team(String name) {
        return teams.get(name);
    }

    /** Machines on which an earlier leader's tasks may be that no report has shown yet. */
    public Collection<Machine> unreconciledMachines() {
        return unreconciledMachines.machines();
    }

    public boolean allReconciled() {
        return unreconciledMachines.isEmpty();
    }

    /** What each team's tasks take; tasks count until they are certainly gone. To be changed freely by the caller. */
    public QuotaUsage quotaUsage() {
        QuotaUsage usage = allocationIndex.usage().copy();
        if (!unreconciledMachines.isEmpty()) {
            addWorstCase(usage);
        }
        return usage;
    }

    /** An earlier leader's tasks on machines not heard of yet count as if they were all there. */
    private void addWorstCase(QuotaUsage usage) {
        QuotaUsage hidden = new QuotaUsage();
        for (ActiveJob job : jobs.values()) {
            if (job.isInherited()) {
                hidden.add(job.spec(), job.waitingCount());
            }
        }
        usage.addCapped(hidden, unreconciledMachines.cpus(), unreconciledMachines.gpus());
    }

    /** How many more tasks of the job its team's limit allows. */
    public int quotaHeadroom(JobSpec spec, QuotaUsage usage) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return 0;
        }
        QuotaUsage.Amount used = usage.ofTeam(spec.team());
        return Math.min(
                remainingTasks(team.maxCpus(), used.cpus(), spec.cpus()),
                remainingTasks(team.maxGpus(), used.gpus(), spec.gpus()));
    }

    private static int remainingTasks(double most, long used, double each) {
        if (most <= 0 || each <= 0) {
            return Integer.MAX_VALUE;
        }
        return (int) Math.max(0, (QuotaUsage.toMilli(most) - used) / QuotaUsage.toMilli(each));
    }

    /** True if the job's tasks may be launched at all now. */
    public boolean isLaunchable(ActiveJob job, long wallMicros) {
        return job.isReleased()
                && !job.isCancelled()
                && !job.isComplete()
                && wallMicros >= job.nextAttemptWallMicros()
                && (!job.isInherited() || !unreconciledMachines.mayHoldTasksOf(job.spec()));
    }

    /** How many tasks of the job may start in the machine's zone given where its other tasks are. */
    public int zoneHeadroom(ActiveJob job, String zone) {
        JobSpec spec = job.spec();
        if (!spec.zoneAffinity() && !spec.zoneAntiAffinity()) {
            return Integer.MAX_VALUE;
        }
        int here = 0;
        int elsewhere = 0;
        for (Allocation allocation : allocationIndex.ofJob(job)) {
            if (allocation.machine().zone().equals(zone)) {
                here++;
            } else {
                elsewhere++;
            }
        }
        if (spec.zoneAffinity() && elsewhere > 0) {
            return 0;
        }
        return spec.maxTasksPerZone() - here;
    }
}
