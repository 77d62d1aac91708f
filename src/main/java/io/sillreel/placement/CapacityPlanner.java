package io.sillreel.placement;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** How much to rent: as many processors as let the queued work end in time, at the lowest price that is to be had. */
public final class CapacityPlanner {
    private static final long LATE_BOOT_FACTOR = 2;
    /** How much of a running task is left on average. */
    private static final double RUNNING_PART = 0.5;

    private static final double SMALLEST_MISSING = 0.5;
    /** New machines are rented for late work as if it had time for so many of its tasks, one after the other. */
    private static final int LATE_TASKS = 2;
    /** An ordinary machine is given this long to prove useful. */
    private static final long SETTLED_MICROS = 30_000_000;

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final RuntimeEstimator runtimeEstimator;
    private final MachineOfferSelector offers;
    private final Map<PriorityClass, DemandEstimator> demand = new EnumMap<>(PriorityClass.class);
    /** What arrives for ordinary machines alone; it is part of the demand of its rank as well. */
    private final DemandEstimator onDemandOnlyDemand = new DemandEstimator();

    private long shortSinceMicros = -1;

    /** Creates a planner that has seen no demand yet. */
    public CapacityPlanner(Cluster cluster, ServiceLevelObjectives objectives, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.runtimeEstimator = runtimeEstimator;
        this.offers = new MachineOfferSelector(cluster);
    }

    /** The cloud had none, or too few, of the kind; it isn't asked for more until then. */
    public void markUnavailable(String type, String zone, boolean spot, long untilMicros) {
        offers.markUnavailable(type, zone, spot, untilMicros);
    }

    /**
     * Told once for every job when it is ready, so that the standing demand is known; a successor learns it from the
     * stored plans.
     */
    public void recordArrival(JobSpec spec, long readyWallMicros) {
        double cpuMicros = spec.tasks() * spec.cpus() * runtimeEstimator.occupancyMicros(spec);
        demand.computeIfAbsent(spec.priorityClass(), rank -> new DemandEstimator())
                .recordArrival(readyWallMicros, cpuMicros);
        if (!spec.spotAllowed()) {
            onDemandOnlyDemand.recordArrival(readyWallMicros, cpuMicros);
        }
    }

    /** Work of a rank that is to be done within a time, and the processors that arriving work of higher ranks takes. */
    private record Load(PriorityClass rank, double cpuMicros, long leftMicros, double yieldedCpus) {}

    /** Unfinished work in the order of its service, as machines see it that are there after the boot time. */
    private List<Load> loads(long wallMicros, long bootMicros) {
        Map<PriorityClass, Double> yielded = new EnumMap<>(PriorityClass.class);
        double above = 0;
        for (PriorityClass rank : PriorityClass.values()) {
            yielded.put(rank, above);
            above += demand.containsKey(rank) ? demand.get(rank).cpus(wallMicros) : 0;
        }
        List<Load> loads = new ArrayList<>();
        for (ActiveJob job : cluster.jobs()) {
            if (job.isCancelled() || job.hasUnmetDependencies() || wallMicros < job.nextAttemptWallMicros()) {
                continue;
            }
            JobSpec spec = job.spec();
            long each = runtimeEstimator.occupancyMicros(job);
            double work = (job.waitingCount() + RUNNING_PART * job.allocatedCount()) * spec.cpus() * each;
            // Whole tasks don't fill the time to the end.
            long left = objectives.deadlineMicros(job, wallMicros, bootMicros) - wallMicros - each / 2;
            if (left < bootMicros + each) {
                // It is late whatever is done; it still wants doing soon, but does not call for a crowd of machines.
                left = bootMicros > 0 ? bootMicros + LATE_TASKS * each : each;
            }
            loads.add(new Load(job.effectivePriority(), work, left, yielded.get(job.effectivePriority())));
        }
        loads.sort(Comparator.comparing(Load::rank).thenComparingLong(Load::leftMicros));
        return loads;
    }

    /** Processors with which all unfinished work would end in time. */
    public double requiredCpus(long wallMicros) {
        double sum = 0;
        double wanted = 0;
        for (Load load : loads(wallMicros, 0)) {
            sum += load.cpuMicros();
            wanted = Math.max(wanted, load.yieldedCpus() + sum / load.leftMicros());
        }
        return wanted;
    }

    /** Processors that arriving work keeps busy on the long run. */
    public double steadyDemandCpus(long wallMicros) {
        return demand.values().stream()
                .mapToDouble(each -> each.cpus(wallMicros))
                .sum();
    }

    /** Processors to add so that what those at hand can't do in time is done by new ones after their boot. */
    private double missingCpus(double have, long bootMicros, boolean reachableOnly, long wallMicros) {
        double sum = 0;
        double missing = 0;
        for (Load load : loads(wallMicros, reachableOnly ? bootMicros : 0)) {
            sum += load.cpuMicros();
            double over = sum - (have - load.yieldedCpus()) * load.leftMicros();
            if (over > 0) {
                long usable = load.leftMicros() - bootMicros;
                missing = Math.max(missing, over / Math.max(usable, reachableOnly ? 1 : bootMicros));
            }
        }
        return missing;
    }

    /**
     * A burst is over before machines rented for it are up, so at first only aims count that they can still help to
     * meet. A shortage that has outlasted a boot is no burst: then everything that is late counts.
     */
    private double urgentCpus(double have, long bootMicros, long nowMicros, long wallMicros) {
        double all = missingCpus(have, bootMicros, false, wallMicros);
        if (all <= SMALLEST_MISSING) {
            shortSinceMicros = -1;
        } else if (shortSinceMicros < 0) {
            shortSinceMicros = nowMicros;
        }
        boolean lasting = shortSinceMicros >= 0 && nowMicros - shortSinceMicros > bootMicros;
        return lasting ? all : missingCpus(have, bootMicros, true, wallMicros);
    }

    /**
     * Rentals to ask for now, at most a few.
     *
     * @param rentingCpus processors that the cloud has been asked for, and of those the ones of ordinary machines
     */
    public List<ScaleOutProposal> scaleOutProposals(
            Collection<MachineType> types,
            long rentingCpus,
            long rentingOrdinaryCpus,
            long nowMicros,
            long wallMicros) {
        offers.refresh();
        double have = rentingCpus;
        for (Machine machine : cluster.machines()) {
            if (isAvailableSoon(machine, nowMicros)) {
                have += machine.type().cpus();
            }
        }
        long boot = types.stream().mapToLong(MachineType::bootMicros).min().orElse(0);
        double urgent = urgentCpus(have, boot, nowMicros, wallMicros);
        double standing = steadyDemandCpus(wallMicros) - have;
        List<ScaleOutProposal> rentalRequests = new ArrayList<>();
        double ordinary = proposeOnDemandMachines(types, rentingOrdinaryCpus, nowMicros, wallMicros, rentalRequests);
        urgent -= ordinary;
        double missing = Math.max(urgent, standing - ordinary);
        while (missing > SMALLEST_MISSING && rentalRequests.size() < 3) {
            // Ordinary machines cost a multiple: they are for work that would be late, not for the standing demand.
            ScaleOutProposal rentalRequest = offers.selectCheapest(
                    types, missing, null, urgent > SMALLEST_MISSING, true, rentalRequests, nowMicros);
            if (rentalRequest == null) {
                break;
            }
            rentalRequests.add(rentalRequest);
            missing -= rentalRequest.count() * rentalRequest.type().cpus();
            urgent -= rentalRequest.count() * rentalRequest.type().cpus();
        }
        if (rentalRequests.isEmpty() && rentingCpus == 0) {
            proposeForUnhostedJob(types, nowMicros, wallMicros, rentalRequests);
        }
        return rentalRequests;
    }

    /**
     * Ordinary machines for work that may use no other: with spot machines as cheap as they are, nobody else rents
     * them, and a job's few tasks would wait for minutes beside a fleet that is idle.
     *
     * @return the processors that were added to the wishes
     */
    private double proposeOnDemandMachines(
            Collection<MachineType> types,
            long rentingOrdinaryCpus,
            long nowMicros,
            long wallMicros,
            List<ScaleOutProposal> rentalRequests) {
        double free = rentingOrdinaryCpus;
        double have = rentingOrdinaryCpus;
        for (Machine machine : cluster.machines()) {
            if (!machine.isSpot() && isAvailableSoon(machine, nowMicros)) {
                have += machine.type().cpus();
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
        double missing = Math.max(waiting - free, onDemandOnlyDemand.cpus(wallMicros) - have);
        if (missing <= SMALLEST_MISSING) {
            return 0;
        }
        ScaleOutProposal rentalRequest =
                offers.selectCheapest(types, missing, largest, true, false, rentalRequests, nowMicros);
        if (rentalRequest == null) {
            return 0;
        }
        rentalRequests.add(rentalRequest);
        return rentalRequest.count() * rentalRequest.type().cpus();
    }

    /** Waiting jobs that no machine of the fleet could ever take get one that can. */
    private void proposeForUnhostedJob(
            Collection<MachineType> types, long nowMicros, long wallMicros, List<ScaleOutProposal> rentalRequests) {
        for (ActiveJob job : cluster.jobs()) {
            if (!cluster.isLaunchable(job, wallMicros) || job.waitingCount() == 0 || job.allocatedCount() > 0) {
                continue;
            }
            boolean hosted = cluster.machines().stream()
                    .anyMatch(machine -> isAvailableSoon(machine, nowMicros)
                            && PlacementConstraints.isEligible(job.spec(), machine)
                            && !job.failedMachines().contains(machine.name())
                            && PlacementConstraints.fitsEmptyMachine(job.spec(), machine.type()));
            if (!hosted) {
                ScaleOutProposal rentalRequest = offers.selectCheapest(
                        types, job.spec().cpus(), job.spec(), true, true, rentalRequests, nowMicros);
                if (rentalRequest != null) {
                    rentalRequests.add(rentalRequest);
                    return;
                }
            }
        }
    }

    /** True if the machine is, or will soon be, there to work. */
    private static boolean isAvailableSoon(Machine machine, long nowMicros) {
        return switch (machine.state()) {
            case UP -> !machine.isInterrupted() && !machine.health().isSuspect() && !isLeaseExpired(machine, nowMicros);
            case PROVISIONING ->
                nowMicros - machine.requestedMicros()
                        < (machine.isInherited() ? 1 : LATE_BOOT_FACTOR)
                                * machine.type().bootMicros();
            default -> false;
        };
    }

    /** True if it is silent beyond its lease: it may come back, but until then others have to do its work. */
    private static boolean isLeaseExpired(Machine machine, long nowMicros) {
        return machine.leaseExpiryMicros() < nowMicros;
    }

    /**
     * Machines that neither the queued work nor the standing demand needs: idle ones, and ordinary ones that are to
     * empty, the dearest first.
     */
    public List<Machine> surplusMachines(long idleMicros, long nowMicros, long wallMicros) {
        double have = 0;
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.UP && machine.isReconciled() && !isLeaseExpired(machine, nowMicros)) {
                have += machine.type().cpus();
                boolean idle = nowMicros - machine.idleSinceMicros(nowMicros) > idleMicros;
                boolean settled = nowMicros - machine.upMicros() > SETTLED_MICROS;
                if (idle || !machine.isSpot() && settled) {
                    candidates.add(machine);
                }
            }
        }
        double needed = Math.max(busyCpus(), steadyDemandCpus(wallMicros));
        double spare = have - Math.max(requiredCpus(wallMicros), needed);
        double ordinarySpare = -onDemandOnlyDemand.cpus(wallMicros);
        for (Machine machine : cluster.machines()) {
            ordinarySpare += !machine.isSpot() && machine.state() == Machine.State.UP
                    ? machine.type().cpus()
                    : 0;
        }
        candidates.sort(
                Comparator.<Machine>comparingDouble(machine -> -machine.type().priceOf(machine.isSpot())
                                / machine.type().cpus())
                        .thenComparingInt(Machine::liveTaskCount));
        List<Machine> surplus = new ArrayList<>();
        for (Machine machine : candidates) {
            boolean kept = !machine.isSpot()
                    && onDemandOnlyDemand.cpus(wallMicros) > 0
                    && machine.type().cpus() > ordinarySpare + 0.01;
            if (machine.type().cpus() <= spare + 0.01 && !kept) {
                surplus.add(machine);
                ordinarySpare -= machine.isSpot() ? 0 : machine.type().cpus();
                spare -= machine.type().cpus();
            }
        }
        return surplus;
    }

    /** Processors taken by tasks now. */
    public double busyCpus() {
        return cpusOf(allocation -> true);
    }

    /** Processors taken by tasks that wait for their images, or whose launch no report has shown yet. */
    public double startingCpus() {
        return cpusOf(allocation -> allocation.isUnconfirmed() || allocation.stage() == Heartbeat.TaskStage.PULLING);
    }

    private double cpusOf(Predicate<Allocation> counted) {
        double cpus = 0;
        for (Machine machine : cluster.machines()) {
            for (Allocation allocation : machine.allocations()) {
                if (!allocation.hasEnded() && allocation.job() != null && counted.test(allocation)) {
                    cpus += allocation.job().spec().cpus();
                }
            }
        }
        return cpus;
    }
}
