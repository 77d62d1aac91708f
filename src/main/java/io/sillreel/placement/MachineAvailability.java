package io.sillreel.placement;

import io.sillreel.cluster.Machine;

/** Decides whether a machine counts as available capacity. */
final class MachineAvailability {
    /** A machine that is not up after this multiple of its usual boot time no longer counts as capacity. */
    private static final long MAX_BOOT_TIMES = 2;

    private MachineAvailability() {}

    /** Returns true if the machine is available for work, or will soon be. */
    static boolean isAvailableSoon(Machine machine, long nowMicros) {
        return switch (machine.state()) {
            case UP ->
                !machine.isInterrupted() && !machine.health().isQuarantined() && !isLeaseExpired(machine, nowMicros);
            case PROVISIONING ->
                nowMicros - machine.requestedMicros()
                        < (machine.isInherited() ? 1 : MAX_BOOT_TIMES)
                                * machine.type().bootMicros();
            default -> false;
        };
    }

    /** Returns true if the lease has expired: the machine may recover, but until then it is not counted as capacity. */
    static boolean isLeaseExpired(Machine machine, long nowMicros) {
        return machine.leaseExpiryMicros() < nowMicros;
    }
}
