package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Decides which machines to provision. Guarded by the cluster lock. */
final class ScaleOutPlanner {
    /** No machine is provisioned for fewer missing CPUs than this. */
    private static final double MIN_MISSING_CPUS = 0.5;

    private static final int MAX_PROPOSALS = 3;

    private final Cluster cluster;
    private final ArrivingDemand arrivingDemand;
    private final DeadlineWorkload workload;
    private final MachineOfferSelector offers;
    private final PlanningErrors errors;
    /** Start of the current shortage, in which the available machines can't meet all deadlines; -1 if there is none. */
    private long shortageSinceMicros = -1;

    ScaleOutPlanner(
            Cluster cluster,
            ArrivingDemand arrivingDemand,
            DeadlineWorkload workload,
            MachineOfferSelector offers,
            PlanningErrors errors) {
        this.cluster = cluster;
        this.arrivingDemand = arrivingDemand;
        this.workload = workload;
        this.offers = offers;
        this.errors = errors;
    }

    /**
     * Returns the machines to provision now, as a small number of requests.
     *
     * @param pendingCpus CPUs of requested machines that the cloud has not confirmed yet
     * @param pendingOnDemandCpus the portion of {@code pendingCpus} that is on-demand
     */
    List<ScaleOutProposal> propose(
            Collection<MachineType> types,
            long pendingCpus,
            long pendingOnDemandCpus,
            long nowMicros,
            long wallMicros) {
        offers.refreshSpotCapacity();
        double available = availableCpus(pendingCpus, nowMicros);
        long bootMicros = shortestBootMicros(types);
        double urgent = urgentCpus(available, bootMicros, nowMicros, wallMicros);
        double steady = arrivingDemand.cpus(wallMicros) - available;
        List<ScaleOutProposal> proposals = new ArrayList<>();
        double onDemand = proposeForOnDemandOnlyWork(types, pendingOnDemandCpus, nowMicros, wallMicros, proposals);
        urgent -= onDemand;
        double missing = Math.max(urgent, steady - onDemand);
        while (missing > MIN_MISSING_CPUS && proposals.size() < MAX_PROPOSALS) {
            // On-demand machines cost several times as much as spot machines, so they are used for work that would be
            // late, not for the steady demand.
            CapacityNeed need = new CapacityNeed(missing, null, urgent > MIN_MISSING_CPUS, true);
            Optional<ScaleOutProposal> proposal = offers.selectCheapest(types, need, proposals, nowMicros);
            if (proposal.isEmpty()) {
                break;
            }
            proposals.add(proposal.get());
            double cpus = cpusOf(proposal.get());
            missing -= cpus;
            urgent -= cpus;
        }
        if (proposals.isEmpty() && pendingCpus == 0) {
            proposeForUnplaceableJob(types, nowMicros, wallMicros, proposals);
        }
        return proposals;
    }

    private double availableCpus(long pendingCpus, long nowMicros) {
        double cpus = pendingCpus;
        for (Machine machine : cluster.machines()) {
            if (MachineAvailability.isAvailableSoon(machine, nowMicros)) {
                cpus += machine.type().cpus();
            }
        }
        return cpus;
    }

    private static long shortestBootMicros(Collection<MachineType> types) {
        long shortest = Long.MAX_VALUE;
        for (MachineType type : types) {
            shortest = Math.min(shortest, type.bootMicros());
        }
        return types.isEmpty() ? 0 : shortest;
    }

    private static double cpusOf(ScaleOutProposal proposal) {
        return proposal.count() * proposal.type().cpus();
    }

    /**
     * Returns the missing CPUs to meet deadlines. A short burst is over before new machines are up, so at first only
     * deadlines count that new machines can still help to meet. A shortage that has lasted longer than a boot is no
     * burst: then all late work counts.
     */
    private double urgentCpus(double available, long bootMicros, long nowMicros, long wallMicros) {
        double missing = workload.missingCpus(available, bootMicros, false, wallMicros);
        if (missing <= MIN_MISSING_CPUS) {
            shortageSinceMicros = -1;
        } else if (shortageSinceMicros < 0) {
            shortageSinceMicros = nowMicros;
        }
        boolean isLasting = shortageSinceMicros >= 0 && nowMicros - shortageSinceMicros > bootMicros;
        return isLasting ? missing : workload.missingCpus(available, bootMicros, true, wallMicros);
    }

    /**
     * Proposes on-demand machines for work that may not run on spot machines. Other work rarely causes on-demand
     * machines to be provisioned, so without this such tasks would wait for minutes while spot machines are idle.
     *
     * @return the CPUs of the added proposal, or 0
     */
    private double proposeForOnDemandOnlyWork(
            Collection<MachineType> types,
            long pendingOnDemandCpus,
            long nowMicros,
            long wallMicros,
            List<ScaleOutProposal> proposals) {
        double free = pendingOnDemandCpus;
        double available = pendingOnDemandCpus;
        for (Machine machine : cluster.machines()) {
            if (!machine.isSpot() && MachineAvailability.isAvailableSoon(machine, nowMicros)) {
                available += machine.type().cpus();
                free += machine.state() == Machine.State.UP
                        ? Math.max(0, machine.freeCpus())
                        : machine.type().cpus();
            }
        }
        double waiting = 0;
        JobSpec largest = null;
        for (ActiveJob job : cluster.jobs()) {
            if (!job.spec().spotAllowed() && job.waitingCount() > 0 && cluster.isLaunchable(job, wallMicros)) {
                waiting += job.waitingCount() * job.spec().cpus();
                if (largest == null || job.spec().cpus() > largest.cpus()) {
                    largest = job.spec();
                }
            }
        }
        double missing = Math.max(waiting - free, arrivingDemand.onDemandOnlyCpus(wallMicros) - available);
        if (missing <= MIN_MISSING_CPUS) {
            return 0;
        }
        CapacityNeed need = new CapacityNeed(missing, largest, true, false);
        Optional<ScaleOutProposal> proposal = offers.selectCheapest(types, need, proposals, nowMicros);
        if (proposal.isEmpty()) {
            return 0;
        }
        proposals.add(proposal.get());
        return cpusOf(proposal.get());
    }

    /** Proposes a machine for the first waiting job that fits on no available machine, even an empty one. */
    private void proposeForUnplaceableJob(
            Collection<MachineType> types, long nowMicros, long wallMicros, List<ScaleOutProposal> proposals) {
        for (ActiveJob job : cluster.jobs()) {
            boolean isWaiting =
                    cluster.isLaunchable(job, wallMicros) && job.waitingCount() > 0 && job.allocatedCount() == 0;
            if (isWaiting) {
                errors.confine(job, wallMicros, () -> proposeIfUnplaceable(job, types, nowMicros, proposals));
            }
            if (!proposals.isEmpty()) {
                return;
            }
        }
    }

    private void proposeIfUnplaceable(
            ActiveJob job, Collection<MachineType> types, long nowMicros, List<ScaleOutProposal> proposals) {
        if (!hasSuitableMachine(job, nowMicros)) {
            CapacityNeed need = new CapacityNeed(job.spec().cpus(), job.spec(), true, true);
            Optional<ScaleOutProposal> proposal = offers.selectCheapest(types, need, proposals, nowMicros);
            if (proposal.isPresent()) {
                proposals.add(proposal.get());
            }
        }
    }

    /**
     * Returns true if the job can wait for an available machine. What a job without CPUs waits for may never become
     * free, and is not missing capacity in CPUs either, so it has to fit beside the other tasks.
     */
    private boolean hasSuitableMachine(ActiveJob job, long nowMicros) {
        boolean needsRoom = CpuEquivalents.isNegligible(job.spec());
        for (Machine machine : cluster.machines()) {
            if (MachineAvailability.isAvailableSoon(machine, nowMicros)
                    && PlacementConstraints.isEligible(job.spec(), machine)
                    && !job.failures().isUnresolved(machine.name())
                    && PlacementConstraints.fitsEmptyMachine(job.spec(), machine.type())
                    && (!needsRoom || machine.fittingTasks(job.spec()) > 0)) {
                return true;
            }
        }
        return false;
    }
}
