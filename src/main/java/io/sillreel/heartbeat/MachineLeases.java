package io.sillreel.heartbeat;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.settings.Settings.WorkerTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leases of the machines. A worker kills its tasks when its lease expires. This class computes the latest time at
 * which that can happen, and requeues the tasks from then on. Guarded by the cluster lock.
 */
public final class MachineLeases {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLeases.class);
    /** Maximum clock drift between a worker and a controller, as a fraction: one part in this many. */
    private static final long DRIFT_DIVISOR = 1_000;

    private static final long EXPIRY_MARGIN_MICROS = 500_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WorkerTimes times;
    private final TaskReconciler reconciler;
    private final TermOperations operations;

    /** @param times the length of a lease */
    public MachineLeases(
            EventLoop eventLoop,
            Cluster cluster,
            WorkerTimes times,
            TaskReconciler reconciler,
            TermOperations operations) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.times = times;
        this.reconciler = reconciler;
        this.operations = operations;
    }

    /** Returns the latest time, in microseconds, at which a lease renewed by an answer at the given time expires. */
    long leaseExpiryMicros(long nowMicros) {
        return nowMicros + times.leaseMicros() + times.leaseMicros() / DRIFT_DIVISOR + EXPIRY_MARGIN_MICROS;
    }

    /** Requeues the tasks of all machines whose leases have expired: none of the tasks can be live any more. */
    void expireLeases() {
        long now = eventLoop.nowMicros();
        for (Machine machine : cluster.machines()) {
            if (machine.leaseExpiryMicros() <= now) {
                expireLease(machine);
            }
        }
    }

    private void expireLease(Machine machine) {
        machine.heartbeatOrder().endEpoch();
        cluster.markReconciled(machine);
        if (operations.mayLaunchOrScale()) {
            operations.markMachineDown(machine);
        }
        if (!machine.allocations().isEmpty()) {
            LOG.info(
                    "lease of machine {} expired, requeueing {} tasks",
                    machine.name(),
                    machine.allocations().size());
            reconciler.clearTasks(machine);
        }
    }
}
