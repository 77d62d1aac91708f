package io.sillreel.placement;

import io.sillreel.cluster.Machine;

/** Decides whether new tasks may be launched on a machine. */
final class LaunchEligibility {
    /** No task is launched on a machine that has missed this many heartbeats. */
    private static final long MISSED_HEARTBEATS_LIMIT = 3;

    private final long heartbeatIntervalMicros;

    LaunchEligibility(long heartbeatIntervalMicros) {
        this.heartbeatIntervalMicros = heartbeatIntervalMicros;
    }

    /** Returns true if the machine is up, reconciled, responsive, stored as up and has no interruption notice. */
    boolean acceptsLaunches(Machine machine, long nowMicros) {
        return machine.state() == Machine.State.UP
                && machine.isReconciled()
                && !machine.isInterrupted()
                && !machine.responsiveness().isUnresponsive()
                && machine.scaleOutRequest().isStoredAsUp(machine.name())
                && nowMicros - machine.lastHeartbeatMicros() < MISSED_HEARTBEATS_LIMIT * heartbeatIntervalMicros;
    }

    /** Returns true if the machine accepts launches and is not in quarantine. */
    boolean isSchedulable(Machine machine, long nowMicros) {
        return acceptsLaunches(machine, nowMicros) && !machine.health().isQuarantined();
    }
}
