package io.sillreel.placement;

import io.sillreel.cluster.Machine;

/** Whether a machine counts as capacity. */
final class MachineAvailability {
    /** A machine that is not up after this many times its usual boot time is not counted any more. */
    private static final long MAX_BOOT_TIMES = 2;

    private MachineAvailability() {}

    /** Returns true if the machine is available for work, or will soon be. */
    static boolean isAvailableSoon(Machine machine, long nowMicros) {
        return switch (machine.state()) {
            case UP -> !machine.isInterrupted() && !machine.health().isSuspect() && !isLeaseExpired(machine, nowMicros);
            case PROVISIONING ->
                nowMicros - machine.requestedMicros()
                        < (machine.isInherited() ? 1 : MAX_BOOT_TIMES)
                                * machine.type().bootMicros();
            default -> false;
        };
    }

    /** Returns true if the lease has expired: the machine may come back, but until then others do its work. */
    static boolean isLeaseExpired(Machine machine, long nowMicros) {
        return machine.leaseExpiryMicros() < nowMicros;
    }
}
