package io.sillreel.limits;

/**
 * The largest fleet that the controllers of a deployment carry, by their sockets and by the memory of one of them. The
 * sizes were measured with stand-in workers on real sockets ({@code docs/scale.md}).
 *
 * @param limits those of this controller; the others are taken to be alike
 */
public record FleetCapacity(ProcessLimits limits) {
    /** A machine type of unknown size is thought to run so many tasks. */
    public static final double DEFAULT_TASKS_PER_MACHINE = 8;

    /** What is in the heap whatever the fleet is, and the part of the rest that lasting objects may take. */
    private static final long BASE_BYTES = 5 << 20;

    private static final double USABLE_PART = 0.75;
    /** What a leader holds of a machine, and of each task on it. */
    private static final long MACHINE_BYTES = 900;

    private static final long TASK_BYTES = 400;
    /** What a worker's connection holds. One controller may be left alone with all of them. */
    private static final long CONNECTION_BYTES = 4_000;

    /** How many workers can report while one of several controllers is away. */
    public int maxMachinesBySockets() {
        return limits.maxWorkerConnections() * Math.max(1, limits.otherControllers());
    }

    /** How many machines a leader that is left alone can hold, with so many tasks on each. */
    public int maxMachinesByMemory(double tasksPerMachine) {
        double usable = (limits.maxHeapBytes() - BASE_BYTES) * USABLE_PART;
        return (int) (usable / (MACHINE_BYTES + CONNECTION_BYTES + TASK_BYTES * tasksPerMachine));
    }

    /** The most machines that both allow. */
    public int maxMachines(double tasksPerMachine) {
        return Math.min(maxMachinesBySockets(), maxMachinesByMemory(tasksPerMachine));
    }

    /** Says in one line what bounds the fleet, with the numbers. */
    public String describe(double tasksPerMachine) {
        String text = "%d machines: %d by sockets (max_sockets %d, %d controllers of which one may be away), "
                + "%d by memory (heap of %d MB, %.0f tasks on each)";
        return text.formatted(
                maxMachines(tasksPerMachine),
                maxMachinesBySockets(),
                limits.maxSockets(),
                limits.otherControllers() + 1,
                maxMachinesByMemory(tasksPerMachine),
                limits.maxHeapBytes() >> 20,
                tasksPerMachine);
    }
}
