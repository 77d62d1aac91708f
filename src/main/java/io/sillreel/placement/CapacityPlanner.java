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
 * Plans the size of the fleet: as many processors as let the queued work meet its deadlines and serve the steady
 * demand, at the lowest available price. Guarded by the lock of the cluster.
 */
public final class CapacityPlanner {
    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;
    private final MachineOfferSelector offers;
    private final ArrivingDemand arrivingDemand = new ArrivingDemand();
    private final DeadlineWorkload workload;
    private final ScaleOutPlanner scaleOut;
    private final ScaleInPlanner scaleIn;

    /** Creates a planner that has seen no demand yet. */
    public CapacityPlanner(Cluster cluster, ServiceLevelObjectives objectives, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
        this.offers = new MachineOfferSelector(cluster);
        this.workload = new DeadlineWorkload(cluster, objectives, runtimeEstimator, arrivingDemand);
        this.scaleOut = new ScaleOutPlanner(cluster, arrivingDemand, workload, offers);
        this.scaleIn = new ScaleInPlanner(cluster, arrivingDemand);
    }

    /** Records that the cloud had none, or too few, of these machines; they are not proposed until then. */
    public void markUnavailable(String machineType, String zone, boolean isSpot, long untilMicros) {
        offers.markUnavailable(machineType, zone, isSpot, untilMicros);
    }

    /**
     * Records a job that has become ready, once for every job, so that the steady demand is known. A new leader learns
     * it from the stored plans.
     */
    public void recordArrival(JobSpec spec, long readyWallMicros) {
        double cpuMicros = spec.tasks() * spec.cpus() * runtimeEstimator.occupancyMicros(spec);
        arrivingDemand.recordArrival(spec, readyWallMicros, cpuMicros);
    }

    /** Returns the processors with which all unfinished work would meet its deadlines. */
    public double requiredCpus(long wallMicros) {
        return workload.requiredCpus(wallMicros);
    }

    /** Returns the processors that arriving work keeps busy in the long run. */
    public double steadyDemandCpus(long wallMicros) {
        return arrivingDemand.cpus(wallMicros);
    }

    /**
     * Returns the machines to provision now, at most a few requests.
     *
     * @param pendingCpus processors that have been requested and not answered yet
     * @param pendingOnDemandCpus those of them that are of on-demand machines
     * @param nowMicros the time of the event loop's clock
     * @param wallMicros the time of day
     */
    public List<ScaleOutProposal> scaleOutProposals(
            Collection<MachineType> types,
            long pendingCpus,
            long pendingOnDemandCpus,
            long nowMicros,
            long wallMicros) {
        return scaleOut.propose(types, pendingCpus, pendingOnDemandCpus, nowMicros, wallMicros);
    }

    /**
     * Returns machines that neither the queued work nor the steady demand needs, the dearest first.
     *
     * @param idleMicros how long a machine has to be idle; on-demand machines may be given up with tasks on them
     */
    public List<Machine> surplusMachines(long idleMicros, long nowMicros, long wallMicros) {
        double neededCpus = Math.max(requiredCpus(wallMicros), Math.max(busyCpus(), steadyDemandCpus(wallMicros)));
        return scaleIn.surplusMachines(neededCpus, idleMicros, nowMicros, wallMicros);
    }

    /** Returns the processors that tasks occupy. */
    public double busyCpus() {
        return cpusOf(allocation -> true);
    }

    /** Returns the processors occupied by tasks that fetch their image or that no heartbeat has shown yet. */
    public double startingCpus() {
        return cpusOf(allocation -> allocation.isUnconfirmed() || allocation.stage() == Heartbeat.TaskStage.PULLING);
    }

    private double cpusOf(Predicate<Allocation> filter) {
        double cpus = 0;
        for (Machine machine : cluster.machines()) {
            for (Allocation allocation : machine.allocations()) {
                if (!allocation.hasEnded() && allocation.job() != null && filter.test(allocation)) {
                    cpus += allocation.job().spec().cpus();
                }
            }
        }
        return cpus;
    }
}
