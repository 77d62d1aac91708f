package io.sillreel.agent;

import java.util.List;

/**
 * The state of one machine as reported by its worker agent, in a periodic message or in the response to a direct
 * command or a status query.
 *
 * @param machine the name of the machine
 * @param address where the agent accepts direct commands, as {@code host:port}
 * @param description the machine type, zone and kind (spot or on-demand) of the machine
 * @param epoch the agent epoch, which increases whenever the machine's lease expires
 * @param sequence the sequence number of the message since the start of the agent
 * @param fencingToken the highest term from which the agent has accepted commands
 * @param interruptionMicros the time until the spot instance is reclaimed, in microseconds; negative without a notice
 * @param tasks all tasks on the machine, including ended tasks that are not acknowledged yet
 */
public record Heartbeat(
        String machine,
        String address,
        MachineDescription description,
        long epoch,
        long sequence,
        long fencingToken,
        long interruptionMicros,
        List<TaskStatus> tasks) {

    /** How long an agent waits for the response to a heartbeat, in microseconds. */
    public static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

    /** The machine type, zone and kind that an agent reports for its machine. */
    public record MachineDescription(String machineType, String zone, boolean isSpot) {}

    /**
     * The stage of a task on its machine. The order of the constants is part of the wire format between controllers.
     */
    public enum TaskStage {
        PULLING,
        RUNNING,
        CHECKPOINTING,
        ENDED
    }

    /**
     * The state of one task on the machine.
     *
     * @param uid the id of the job
     * @param index the number of the task within the job, from 0
     * @param attempt the attempt id, assigned at the launch
     * @param cause why the task has ended; empty while it is live
     */
    public record TaskStatus(String uid, int index, long attempt, TaskStage stage, String cause) {}

    /** True if the agent created this message after the one with the given epoch and sequence. */
    public boolean isNewerThan(long otherEpoch, long otherSequence) {
        return epoch > otherEpoch || epoch == otherEpoch && sequence > otherSequence;
    }
}
