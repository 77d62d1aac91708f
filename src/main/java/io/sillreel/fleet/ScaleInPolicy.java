package io.sillreel.fleet;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings.WorkerTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines are to be given back to the cloud, and why. All access is under the lock of the cluster. */
final class ScaleInPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);
    private static final long MIN_BOOT_TIMEOUT_MICROS = 75_000_000;
    private static final int BOOT_TIMEOUT_FACTOR = 3;
    private static final long MIN_UNRECONCILED_MICROS = 8_000_000;
    /** A report with the new token follows the first one by half a second, and both may pass through a follower. */
    private static final long SECOND_HEARTBEAT_MICROS = 1_500_000;

    /** A recalled machine is returned so long before the cloud would take it. */
    private static final long INTERRUPTION_MARGIN_MICROS = 1_500_000;

    private static final double MAX_SILENT_LEASES = 2.5;

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

    /** Decides which machines are to go. */
    void drainSurplus(long now) {
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.PROVISIONING) {
                drainIfNeverUp(machine, now);
            } else if (machine.state() == Machine.State.UP) {
                drainIfSilentOrInterrupted(machine, now);
            }
            returnInterrupted(machine, now);
        }
        for (Machine machine : lostMachineDetector.detectLostMachines(now)) {
            scheduleReturn(machine, "its heartbeats have stopped");
        }
        returnUnreconciled(now);
        for (Machine machine :
                capacityPlanner.surplusMachines(operator.idleTimeoutMicros(), now, eventLoop.wallMicros())) {
            drain(machine, "it is idle");
        }
    }

    private static void drainIfNeverUp(Machine machine, long now) {
        long timeout = Math.max(
                MIN_BOOT_TIMEOUT_MICROS, BOOT_TIMEOUT_FACTOR * machine.type().bootMicros());
        if (now - machine.requestedMicros() > timeout && machine.leaseExpiryMicros() < now) {
            drain(machine, "it never sent a heartbeat");
        }
    }

    private void drainIfSilentOrInterrupted(Machine machine, long now) {
        long silent = now - Math.max(machine.lastHeartbeatMicros(), machine.requestedMicros());
        // A cut zone or a machine that hangs mostly comes back; then it has its images and need not boot.
        if (machine.leaseExpiryMicros() < now && silent > MAX_SILENT_LEASES * times.leaseMicros()) {
            drain(machine, "it has sent no heartbeat for longer than its lease");
        } else if (machine.isInterrupted() && machine.isEmpty()) {
            drain(machine, "the cloud has announced its interruption");
        }
    }

    /**
     * What runs on a recalled machine is lost in a moment. If the machine just vanished, its tasks would count as alive
     * until their lease ran out; once the cloud has taken it back on our word, they can start elsewhere at once.
     */
    private void returnInterrupted(Machine machine, long now) {
        boolean here = machine.state() == Machine.State.UP || machine.state() == Machine.State.DRAINING;
        if (here
                && machine.isInterrupted()
                && machine.interruptionAtMicros() - now < INTERRUPTION_MARGIN_MICROS
                && !machine.isReturnScheduled()) {
            scheduleReturn(machine, "the cloud has announced its interruption");
        }
    }

    /**
     * Most machines report within seconds of a takeover, and again with the new token. The few that don't, or that
     * report and don't hear the answer, would hold up every job of an earlier term for as long as their leases might
     * last; once the cloud has taken them back, it is certain that nothing runs there.
     */
    private void returnUnreconciled(long now) {
        int unheard = cluster.unreconciledMachines().size();
        int all = cluster.machines().size();
        // The last few are hardly on a detour, and each of them holds up every earlier job. In a small fleet the last
        // one mostly is: it waits for the answer of the controller that has ended.
        long patience = unheard <= thresholds.fewUnreconciled(all)
                ? times.heartbeatIntervalMicros() * 5 / 4 + SECOND_HEARTBEAT_MICROS
                : Math.max(MIN_UNRECONCILED_MICROS, 2 * times.heartbeatIntervalMicros() + 4_000_000);
        if (now - termStartMicros < patience || unheard == 0 || unheard > thresholds.maxUnreconciled(all)) {
            return;
        }
        for (Machine machine : cluster.unreconciledMachines()) {
            if (now - Math.max(machine.upMicros(), termStartMicros) > patience && !machine.isReturnScheduled()) {
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
