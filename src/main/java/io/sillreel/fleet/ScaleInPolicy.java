package io.sillreel.fleet;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings.WorkerTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are drained or returned immediately, and logs the reason. Guarded by the cluster lock, except
 * for the constructor.
 */
final class ScaleInPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);
    /** Minimum timeout for the first heartbeat of a new machine, for any type. */
    private static final long MIN_BOOT_TIMEOUT_MICROS = 75_000_000;
    /** Timeout for the first heartbeat as a multiple of the usual boot time of the machine type. */
    private static final int BOOT_TIMEOUT_FACTOR = 3;
    /** Minimum time from the start of the term until unreconciled machines are returned, unless only few are left. */
    private static final long MIN_UNRECONCILED_TIMEOUT_MICROS = 8_000_000;
    /** A heartbeat with the new fencing token follows the first one by 0.5 s, and both may pass through a follower. */
    private static final long SECOND_HEARTBEAT_MICROS = 1_500_000;

    /** An interrupted machine is returned this long before the cloud reclaims it. */
    private static final long INTERRUPTION_MARGIN_MICROS = 1_500_000;

    /** A machine without heartbeats is drained after this multiple of its lease. */
    private static final double SILENT_TIMEOUT_LEASES = 2.5;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WorkerTimes times;
    private final OperatorProperties operator;
    private final CapacityPlanner capacityPlanner;
    private final FleetThresholds thresholds;
    private final LostMachineDetector lostMachineDetector;
    private final long termStartMicros;

    ScaleInPolicy(
            EventLoop eventLoop,
            Cluster cluster,
            WorkerTimes times,
            OperatorProperties operator,
            CapacityPlanner capacityPlanner,
            FleetThresholds thresholds,
            FleetCallbacks callbacks) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.times = times;
        this.operator = operator;
        this.capacityPlanner = capacityPlanner;
        this.thresholds = thresholds;
        this.lostMachineDetector = new LostMachineDetector(cluster, times, thresholds, callbacks);
        this.termStartMicros = eventLoop.nowMicros();
    }

    /** Drains or returns machines that are idle, faulty, lost or interrupted. Called about once a second. */
    void drainOrReturnMachines(long nowMicros) {
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.PROVISIONING) {
                drainIfNeverUp(machine, nowMicros);
            } else if (machine.state() == Machine.State.UP) {
                drainIfSilentOrInterrupted(machine, nowMicros);
            }
            returnInterrupted(machine, nowMicros);
        }
        for (Machine machine : lostMachineDetector.detectLostMachines(nowMicros)) {
            scheduleReturn(machine, "its heartbeats have stopped");
        }
        returnUnreconciled(nowMicros);
        for (Machine machine :
                capacityPlanner.surplusMachines(operator.idleTimeoutMicros(), nowMicros, eventLoop.wallMicros())) {
            drain(machine, "it is idle");
        }
    }

    private static void drainIfNeverUp(Machine machine, long nowMicros) {
        long timeoutMicros = Math.max(
                MIN_BOOT_TIMEOUT_MICROS, BOOT_TIMEOUT_FACTOR * machine.type().bootMicros());
        if (nowMicros - machine.requestedMicros() > timeoutMicros && machine.leaseExpiryMicros() < nowMicros) {
            drain(machine, "it never sent a heartbeat");
        }
    }

    private void drainIfSilentOrInterrupted(Machine machine, long nowMicros) {
        long silentMicros = nowMicros - Math.max(machine.lastHeartbeatMicros(), machine.requestedMicros());
        // Machines in a partitioned zone and hung machines usually recover, and then need neither a boot nor an image
        // pull.
        if (machine.leaseExpiryMicros() < nowMicros && silentMicros > SILENT_TIMEOUT_LEASES * times.leaseMicros()) {
            drain(machine, "it has sent no heartbeat for longer than its lease");
        } else if (machine.isInterrupted() && machine.isEmpty()) {
            drain(machine, "the cloud has announced its interruption");
        }
    }

    /**
     * Returns a machine just before the cloud reclaims it. Its tasks are lost in either case. If the cloud reclaimed
     * the machine first, they would count as live until its lease expires; once the cloud has confirmed the return,
     * they can restart elsewhere.
     */
    private void returnInterrupted(Machine machine, long nowMicros) {
        boolean isInUse = machine.state() == Machine.State.UP || machine.state() == Machine.State.DRAINING;
        if (isInUse
                && machine.isInterrupted()
                && machine.interruptionAtMicros() - nowMicros < INTERRUPTION_MARGIN_MICROS
                && !machine.isReturnScheduled()) {
            scheduleReturn(machine, "the cloud has announced its interruption");
        }
    }

    /**
     * Returns the few machines that are still unreconciled some time after a failover. Most machines send a heartbeat
     * within seconds and another one with the new fencing token. The few that send none, or that receive no response,
     * would delay every inherited job until their leases expire; their return confirms that no task runs there.
     */
    private void returnUnreconciled(long nowMicros) {
        int unreconciled = cluster.unreconciledMachines().size();
        int machines = cluster.machines().size();
        // In a large fleet the last few machines are unlikely to be delayed merely by switching controllers, and each
        // of them delays every inherited job. In a small fleet the last machine is often still waiting for a response
        // of the failed controller.
        long timeoutMicros = unreconciled <= thresholds.maxUnreconciledForShortTimeout(machines)
                ? times.heartbeatIntervalMicros() * 5 / 4 + SECOND_HEARTBEAT_MICROS
                : Math.max(MIN_UNRECONCILED_TIMEOUT_MICROS, 2 * times.heartbeatIntervalMicros() + 4_000_000);
        if (nowMicros - termStartMicros < timeoutMicros
                || unreconciled == 0
                || unreconciled > thresholds.maxUnreconciled(machines)) {
            return;
        }
        for (Machine machine : cluster.unreconciledMachines()) {
            if (nowMicros - Math.max(machine.upMicros(), termStartMicros) > timeoutMicros
                    && !machine.isReturnScheduled()) {
                scheduleReturn(machine, "it has not been reconciled since the term began");
            }
        }
    }

    private static void drain(Machine machine, String reason) {
        logReturn(machine, reason);
        machine.drain();
    }

    private static void scheduleReturn(Machine machine, String reason) {
        logReturn(machine, reason);
        machine.scheduleReturn();
    }

    private static void logReturn(Machine machine, String reason) {
        LOG.info(
                "scaling in machine {} ({}, zone {}{}): {}",
                machine.name(),
                machine.type().name(),
                machine.zone(),
                machine.isSpot() ? ", spot" : "",
                reason);
    }
}
