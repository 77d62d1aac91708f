package io.sillreel.limits;

/**
 * The largest fleet that the controllers of a deployment carry, by their sockets and by the memory of one of them. The
 * sizes were measured with simulated workers on real sockets ({@code docs/scale.md}).
 *
 * @param limits the limits of this controller; the others are assumed to have the same
 */
public record FleetCapacity(ProcessLimits limits) {
    /** Tasks that a machine is assumed to run as long as nothing is known of it. */
    public static final double DEFAULT_TASKS_PER_MACHINE = 8;

    /** Heap that is used whatever the size of the fleet. */
    private static final long FIXED_HEAP_BYTES = 5 << 20;
    /** Fraction of the remaining heap that long-lived objects may take. */
    private static final double USABLE_HEAP_FRACTION = 0.75;
    /** Heap that a leader uses for a machine. */
    private static final long BYTES_PER_MACHINE = 900;
    /** Heap that a leader uses for a running task. */
    private static final long BYTES_PER_TASK = 400;
    /** Heap of a worker's connection; a controller that is left alone has those of all workers. */
    private static final long BYTES_PER_CONNECTION = 4_000;

    /** The number of workers that can send heartbeats while one of several controllers is down. */
    public int maxMachinesBySockets() {
        return limits.maxWorkerConnections() * Math.max(1, limits.otherControllers());
    }

    /** The number of machines that the heap of a leader carries which is left alone, with so many tasks on each. */
    public int maxMachinesByMemory(double tasksPerMachine) {
        double usableBytes = (limits.maxHeapBytes() - FIXED_HEAP_BYTES) * USABLE_HEAP_FRACTION;
        return (int) (usableBytes / (BYTES_PER_MACHINE + BYTES_PER_CONNECTION + BYTES_PER_TASK * tasksPerMachine));
    }

    /** The number of machines that both sockets and memory allow. */
    public int maxMachines(double tasksPerMachine) {
        return Math.min(maxMachinesBySockets(), maxMachinesByMemory(tasksPerMachine));
    }

    /** Describes in one line what bounds the fleet, with the numbers. */
    public String describe(double tasksPerMachine) {
        String format = "%d machines: %d by sockets (max_sockets %d, %d controllers of which one may be away), "
                + "%d by memory (heap of %d MB, %.0f tasks on each)";
        return format.formatted(
                maxMachines(tasksPerMachine),
                maxMachinesBySockets(),
                limits.maxSockets(),
                limits.otherControllers() + 1,
                maxMachinesByMemory(tasksPerMachine),
                limits.maxHeapBytes() >> 20,
                tasksPerMachine);
    }
}
