package io.sillreel.placement;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Plans the size of the fleet: enough CPUs for the queued work to meet its deadlines and for the steady demand, at the
 * lowest available price. Guarded by the cluster lock.
 */
public final class CapacityPlanner {
    /** Longer tasks count as this long in the steady demand: nobody knows whether work as long will keep arriving. */
    private static final long MAX_STEADY_OCCUPANCY_MICROS = 600_000_000;

    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;
    private final MachineOfferSelector offers;
    private final ArrivingDemand arrivingDemand = new ArrivingDemand();
    private final CpuEquivalents cpuEquivalents = new CpuEquivalents();
    private final DeadlineWorkload workload;
    private final ScaleOutPlanner scaleOut;
    private final ScaleInPlanner scaleIn;

    /**
     * Creates a planner without recorded demand.
     *
     * @param errors confines errors to the job for which they occur
     */
    public CapacityPlanner(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            RuntimeEstimator runtimeEstimator,
            PlanningErrors errors) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
        this.offers = new MachineOfferSelector(cluster);
        this.workload =
                new DeadlineWorkload(cluster, objectives, runtimeEstimator, arrivingDemand, cpuEquivalents, errors);
        this.scaleOut = new ScaleOutPlanner(cluster, arrivingDemand, workload, offers, errors);
        this.scaleIn = new ScaleInPlanner(cluster, arrivingDemand);
    }

    /**
     * Records that the cloud had insufficient capacity for an offer; it is not proposed again before the given time.
     */
    public void markUnavailable(String machineType, String zone, boolean isSpot, long untilMicros) {
        offers.markUnavailable(machineType, zone, isSpot, untilMicros);
    }

    /**
     * Records the arrival of a job for the estimate of the steady demand; called once per job, when it becomes ready. A
     * new leader rebuilds the estimate from the stored plans.
     */
    public void recordArrival(JobSpec spec, long readyWallMicros) {
        long occupancyMicros = Math.min(MAX_STEADY_OCCUPANCY_MICROS, runtimeEstimator.occupancyMicros(spec));
        double cpuMicros = spec.tasks() * cpuEquivalents.ofTask(spec) * occupancyMicros;
        arrivingDemand.recordArrival(spec, readyWallMicros, cpuMicros);
    }

    /** Returns the CPUs with which all unfinished work would meet its deadlines. */
    public double requiredCpus(long wallMicros) {
        return workload.requiredCpus(wallMicros);
    }

    /** Returns the CPUs that arriving work keeps busy in the long run. */
    public double steadyDemandCpus(long wallMicros) {
        return arrivingDemand.cpus(wallMicros);
    }

    /**
     * Returns the machines to provision now, as a small number of requests.
     *
     * @param pendingCpus CPUs of requested machines that the cloud has not confirmed yet
     * @param pendingOnDemandCpus the portion of {@code pendingCpus} that is on-demand
     * @param nowMicros monotonic time of the event loop
     * @param wallMicros the time of day
     */
    public List<ScaleOutProposal> scaleOutProposals(
            Collection<MachineType> types,
            long pendingCpus,
            long pendingOnDemandCpus,
            long nowMicros,
            long wallMicros) {
        cpuEquivalents.update(types);
        return scaleOut.propose(types, pendingCpus, pendingOnDemandCpus, nowMicros, wallMicros);
    }

    /**
     * Returns machines that neither the queued work nor the steady demand needs, the most expensive first.
     *
     * @param idleMicros minimum idle time of a machine; on-demand machines may be selected even if they have tasks
     */
    public List<Machine> surplusMachines(long idleMicros, long nowMicros, long wallMicros) {
        double neededCpus = Math.max(requiredCpus(wallMicros), Math.max(busyCpus(), steadyDemandCpus(wallMicros)));
        return scaleIn.surplusMachines(neededCpus, idleMicros, nowMicros, wallMicros);
    }

    /** Returns the CPUs that tasks occupy, by their memory if they take hardly any CPUs. */
    public double busyCpus() {
        return cpusOf(allocation -> true);
    }

    /** Returns the CPUs occupied by tasks that are pulling their image or that no heartbeat has confirmed yet. */
    public double startingCpus() {
        return cpusOf(allocation -> allocation.isUnconfirmed() || allocation.stage() == Heartbeat.TaskStage.PULLING);
    }

    private double cpusOf(Predicate<Allocation> filter) {
        double cpus = 0;
        for (Machine machine : cluster.machines()) {
            for (Allocation allocation : machine.allocations()) {
                if (!allocation.hasEnded() && allocation.job() != null && filter.test(allocation)) {
                    cpus += cpuEquivalents.ofTask(allocation.job().spec());
                }
            }
        }
        return cpus;
    }
}
