package io.sillreel.fleet;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.settings.Settings.WorkerTimes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Finds single machines that no longer send heartbeats. Such a machine has most likely been taken without notice.
 * Returning it makes that certain long before its lease expires, and its tasks can start elsewhere. When many fall
 * silent together, a network partition or a common overload is more likely, and they come back: then nothing is found,
 * and their leases decide. All access is under the lock of the cluster.
 */
final class LostMachineDetector {
    /** A heartbeat may be late by so much without its machine being counted as overdue. */
    private static final long OVERDUE_TOLERANCE_MICROS = 1_000_000;
    /** The time for one more heartbeat to arrive, even through a follower. */
    private static final long SECOND_HEARTBEAT_MICROS = 1_500_000;
    /** A worker whose controller is gone waits 4 s for its response and 1 s before it tries another controller. */
    private static final long CONTROLLER_SWITCH_MICROS = 5_500_000;

    private final Cluster cluster;
    private final WorkerTimes times;
    private final FleetThresholds thresholds;
    private final FleetCallbacks callbacks;
    /** When machines were found to be lost, within the last lease. */
    private final List<Long> recentLossesMicros = new ArrayList<>();

    private long lastMassOutageMicros = Long.MIN_VALUE / 2;

    LostMachineDetector(Cluster cluster, WorkerTimes times, FleetThresholds thresholds, FleetCallbacks callbacks) {
        this.cluster = cluster;
        this.times = times;
        this.thresholds = thresholds;
        this.callbacks = callbacks;
    }

    /** Returns the machines that have become lost, none if too many have at once. Called about once a second. */
    List<Machine> detectLostMachines(long nowMicros) {
        long timeoutMicros = times.heartbeatIntervalMicros() * 3 / 2
                + (callbacks.isRoutingStable() ? SECOND_HEARTBEAT_MICROS : CONTROLLER_SWITCH_MICROS);
        long overdueMicros = times.heartbeatIntervalMicros() * 5 / 4 + OVERDUE_TOLERANCE_MICROS;
        List<Machine> lost = new ArrayList<>();
        int overdueCount = 0;
        int onTimeCount = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.UP && machine.isReconciled()) {
                long silentMicros = nowMicros - machine.lastHeartbeatMicros();
                overdueCount += silentMicros > overdueMicros ? 1 : 0;
                onTimeCount += silentMicros > overdueMicros ? 0 : 1;
                // Once the lease has expired nothing is gained, and the machine may be the last of many to come back.
                if (silentMicros > timeoutMicros && machine.leaseExpiryMicros() > nowMicros) {
                    lost.add(machine);
                }
            }
        }
        updateMassOutage(overdueCount, onTimeCount, nowMicros);
        // When machines that were cut off together come back, the last of them is on its way like the others.
        if (nowMicros - lastMassOutageMicros < CONTROLLER_SWITCH_MICROS + times.heartbeatIntervalMicros()) {
            return List.of();
        }
        recentLossesMicros.addAll(Collections.nCopies(lost.size(), nowMicros));
        return lost;
    }

    private void updateMassOutage(int overdueCount, int onTimeCount, long nowMicros) {
        // Machines that fall silent together become overdue one after the other. Those found recently count with them,
        // or the machines of a partitioned zone would be returned two at a time.
        recentLossesMicros.removeIf(lossMicros -> nowMicros - lossMicros > times.leaseMicros());
        if (onTimeCount == 0
                || overdueCount + recentLossesMicros.size()
                        > thresholds.maxLost(cluster.machines().size())) {
            lastMassOutageMicros = nowMicros;
        }
    }
}
