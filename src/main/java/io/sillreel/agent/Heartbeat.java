package io.sillreel.agent;

import java.util.List;

/**
 * The state of one machine as its worker agent reports it, in a periodic message or in the answer to a direct command
 * or a status query.
 *
 * @param machine the name of the machine
 * @param address where the agent takes direct commands, as {@code host:port}
 * @param description the kind of the machine
 * @param epoch the agent epoch: rises whenever a lease expires
 * @param sequence the number of the message within the life of the agent
 * @param fencingToken the highest term of which the agent has taken commands
 * @param interruptionMicros the time until the spot instance is reclaimed, in microseconds; negative without a notice
 * @param tasks all tasks on the machine, those that have ended until they are acknowledged
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

    /** The kind of a machine as its agent knows it. */
    public record MachineDescription(String machineType, String zone, boolean isSpot) {}

    /** The state of a task on its machine; the order is part of the message format between controllers. */
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
     * @param attempt the id of the launch
     * @param cause why the task has ended; empty before
     */
    public record TaskStatus(String uid, int index, long attempt, TaskStage stage, String cause) {}

    /** True if this message was made after the one with the given epoch and sequence. */
    public boolean isNewerThan(long otherEpoch, long otherSequence) {
        return epoch > otherEpoch || epoch == otherEpoch && sequence > otherSequence;
    }
}
