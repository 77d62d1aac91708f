package io.sillreel.limits;

/**
 * The largest fleet that the controllers of a deployment support, limited by their sockets and by the heap of a single
 * leader. The sizes were measured with simulated workers on real sockets ({@code docs/scale.md}).
 *
 * @param limits limits of this controller; the other controllers are assumed to have the same ones
 */
public record FleetCapacity(ProcessLimits limits) {
    /** Assumed number of tasks on a machine until the actual load is known. */
    public static final double DEFAULT_TASKS_PER_MACHINE = 8;

    /** Heap in use regardless of the size of the fleet. */
    private static final long FIXED_HEAP_BYTES = 5 << 20;
    /** Fraction of the remaining heap that long-lived objects may occupy. */
    private static final double USABLE_HEAP_FRACTION = 0.75;
    /** Heap that the leader uses for each machine. */
    private static final long BYTES_PER_MACHINE = 900;
    /** Heap that the leader uses for each running task. */
    private static final long BYTES_PER_TASK = 400;
    /**
     * Heap for each worker connection; if all other controllers are down, the leader holds the connections of all
     * workers.
     */
    private static final long BYTES_PER_CONNECTION = 4_000;

    /** Returns the number of workers that can stay connected while one of several controllers is down. */
    public int maxMachinesBySockets() {
        return limits.maxWorkerConnections() * Math.max(1, limits.otherControllers());
    }

    /** Returns the number of machines that fit into the leader's heap while all other controllers are down. */
    public int maxMachinesByMemory(double tasksPerMachine) {
        double usableBytes = (limits.maxHeapBytes() - FIXED_HEAP_BYTES) * USABLE_HEAP_FRACTION;
        return (int) (usableBytes / (BYTES_PER_MACHINE + BYTES_PER_CONNECTION + BYTES_PER_TASK * tasksPerMachine));
    }

    /** Returns the number of machines that both sockets and memory allow. */
    public int maxMachines(double tasksPerMachine) {
        return Math.min(maxMachinesBySockets(), maxMachinesByMemory(tasksPerMachine));
    }

    /** Returns a one-line description of the fleet limit and the values that it follows from. */
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
