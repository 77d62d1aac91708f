package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Selects machines that are no longer needed. Guarded by the cluster lock. */
final class ScaleInPlanner {
    /** Minimum uptime of an on-demand machine before it may be selected although it has tasks. */
    private static final long MIN_ON_DEMAND_UP_MICROS = 30_000_000;

    private static final double EPSILON_CPUS = 0.01;

    private final Cluster cluster;
    private final ArrivingDemand arrivingDemand;

    ScaleInPlanner(Cluster cluster, ArrivingDemand arrivingDemand) {
        this.cluster = cluster;
        this.arrivingDemand = arrivingDemand;
    }

    /**
     * Returns surplus machines, the most expensive per CPU first: idle machines, and on-demand machines even with
     * tasks.
     *
     * @param neededCpus number of CPUs to keep
     * @param idleMicros minimum idle time of an idle machine
     */
    List<Machine> surplusMachines(double neededCpus, long idleMicros, long nowMicros, long wallMicros) {
        double inServiceCpus = 0;
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (isInService(machine, nowMicros)) {
                inServiceCpus += machine.type().cpus();
                if (isCandidate(machine, idleMicros, nowMicros)) {
                    candidates.add(machine);
                }
            }
        }
        candidates.sort(Comparator.comparingDouble(ScaleInPlanner::negativePricePerCpu)
                .thenComparingInt(Machine::liveTaskCount));
        return selectSurplus(candidates, inServiceCpus - neededCpus, wallMicros);
    }

    private static boolean isInService(Machine machine, long nowMicros) {
        return machine.state() == Machine.State.UP
                && machine.isReconciled()
                && !MachineAvailability.isLeaseExpired(machine, nowMicros);
    }

    private static boolean isCandidate(Machine machine, long idleMicros, long nowMicros) {
        boolean isIdle = nowMicros - machine.idleSinceMicros(nowMicros) > idleMicros;
        return isIdle || !machine.isSpot() && nowMicros - machine.upMicros() > MIN_ON_DEMAND_UP_MICROS;
    }

    private static double negativePricePerCpu(Machine machine) {
        return -machine.type().priceOf(machine.isSpot()) / machine.type().cpus();
    }

    /**
     * Selects candidates as long as the remaining machines suffice, both for all work and for work that requires
     * on-demand machines.
     */
    private List<Machine> selectSurplus(List<Machine> candidates, double spareCpus, long wallMicros) {
        double onDemandOnlyCpus = arrivingDemand.onDemandOnlyCpus(wallMicros);
        double spareOnDemandCpus = spareOnDemandCpus(onDemandOnlyCpus);
        List<Machine> surplus = new ArrayList<>();
        for (Machine machine : candidates) {
            double cpus = machine.type().cpus();
            boolean isNeededOnDemand =
                    !machine.isSpot() && onDemandOnlyCpus > 0 && cpus > spareOnDemandCpus + EPSILON_CPUS;
            if (cpus <= spareCpus + EPSILON_CPUS && !isNeededOnDemand) {
                surplus.add(machine);
                spareOnDemandCpus -= machine.isSpot() ? 0 : cpus;
                spareCpus -= cpus;
            }
        }
        return surplus;
    }

    private double spareOnDemandCpus(double onDemandOnlyCpus) {
        double spare = -onDemandOnlyCpus;
        for (Machine machine : cluster.machines()) {
            if (!machine.isSpot() && machine.state() == Machine.State.UP) {
                spare += machine.type().cpus();
            }
        }
        return spare;
    }
}
