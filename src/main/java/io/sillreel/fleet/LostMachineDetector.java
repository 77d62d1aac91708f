package io.sillreel.fleet;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.settings.Settings.WorkerTimes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Detects individual machines that have stopped sending heartbeats. Most likely the cloud has reclaimed such a machine
 * without notice. Returning it confirms that its tasks have ended long before its lease expires, so they can restart
 * elsewhere. If many machines fall silent together, a network partition or an overload is more likely and the machines
 * will probably come back: then none is reported, and their tasks are released when their leases expire. Guarded by the
 * cluster lock.
 */
final class LostMachineDetector {
    /** Delay of a heartbeat up to which its machine does not count as overdue. */
    private static final long OVERDUE_TOLERANCE_MICROS = 1_000_000;
    /** Time for one more heartbeat to arrive, including forwarding by a follower. */
    private static final long SECOND_HEARTBEAT_MICROS = 1_500_000;
    /**
     * A worker whose controller is down waits 4 s for the response and another 1 s before it tries the next controller.
     */
    private static final long CONTROLLER_SWITCH_MICROS = 5_500_000;

    private final Cluster cluster;
    private final WorkerTimes times;
    private final FleetThresholds thresholds;
    private final FleetCallbacks callbacks;
    /** Times at which machines were detected as lost, within the last machine lease. */
    private final List<Long> recentLossesMicros = new ArrayList<>();

    private long lastMassOutageMicros = Long.MIN_VALUE / 2;

    LostMachineDetector(Cluster cluster, WorkerTimes times, FleetThresholds thresholds, FleetCallbacks callbacks) {
        this.cluster = cluster;
        this.times = times;
        this.thresholds = thresholds;
        this.callbacks = callbacks;
    }

    /** Returns the machines that are lost now, or none during a mass outage. Called about once a second. */
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
                // After lease expiry the tasks are already released, so a return gains nothing, and the machine may be
                // one of the last to recover from a mass outage.
                if (silentMicros > timeoutMicros && machine.leaseExpiryMicros() > nowMicros) {
                    lost.add(machine);
                }
            }
        }
        updateMassOutage(overdueCount, onTimeCount, nowMicros);
        // After a mass outage the last machines take up to one controller switch and one heartbeat to reconnect.
        if (nowMicros - lastMassOutageMicros < CONTROLLER_SWITCH_MICROS + times.heartbeatIntervalMicros()) {
            return List.of();
        }
        recentLossesMicros.addAll(Collections.nCopies(lost.size(), nowMicros));
        return lost;
    }

    private void updateMassOutage(int overdueCount, int onTimeCount, long nowMicros) {
        // Machines that fall silent together become overdue one after the other. Recent losses are counted as well, or
        // the machines of a partitioned zone would be returned two at a time.
        recentLossesMicros.removeIf(lossMicros -> nowMicros - lossMicros > times.leaseMicros());
        if (onTimeCount == 0
                || overdueCount + recentLossesMicros.size()
                        > thresholds.maxLost(cluster.machines().size())) {
            lastMassOutageMicros = nowMicros;
        }
    }
}
