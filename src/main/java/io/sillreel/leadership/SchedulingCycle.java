package io.sillreel.leadership;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.SpotInterruptionDrain;
import io.sillreel.heartbeat.HeartbeatProcessor;
import io.sillreel.http.EventLoop;
import io.sillreel.placement.PlacementPlan;
import io.sillreel.placement.Planner;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans as often as the cost of planning allows, and sends commands that can't wait for the next heartbeat of their
 * machine. Runs on the event loop, under the lock of the cluster except for sending.
 */
final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);
    private static final long MIN_PLAN_INTERVAL_MICROS = 200_000;
    private static final long MAX_PLAN_INTERVAL_MICROS = 2_000_000;
    /** The interval is at least this many times as long as the last plan took. */
    private static final long PLAN_INTERVAL_FACTOR = 8;

    private static final int MAX_COMMANDS_PER_TICK = 6;
    /** Allowed for the delivery of a command, beyond the time that a checkpoint takes. */
    private static final long COMMAND_DELIVERY_ALLOWANCE_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final Planner planner;
    private final HeartbeatProcessor heartbeatProcessor;
    private final AgentClient agentClient;
    private final SchedulingRequests requests;
    private final SpotInterruptionDrain interruptionDrain;
    private final BooleanSupplier mayAct;
    private long lastPlanStartMicros;
    private long lastPlanDurationMicros;
    private long totalPlanDurationMicros;
    private long planCount;

    /** @param mayAct true while launches are allowed */
    SchedulingCycle(
            EventLoop eventLoop,
            Cluster cluster,
            Planner planner,
            HeartbeatProcessor heartbeatProcessor,
            AgentClient agentClient,
            SchedulingRequests requests,
            SpotInterruptionDrain interruptionDrain,
            BooleanSupplier mayAct) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.planner = planner;
        this.heartbeatProcessor = heartbeatProcessor;
        this.agentClient = agentClient;
        this.requests = requests;
        this.interruptionDrain = interruptionDrain;
        this.mayAct = mayAct;
    }

    /** How many plans have been made in this term. */
    long planCount() {
        return planCount;
    }

    /** The time that all plans took together. */
    long totalPlanDurationMicros() {
        return totalPlanDurationMicros;
    }

    /** Expires the leases of silent machines, plans if that is due, and sends the commands that can't wait. */
    void tick(long now) {
        List<Machine> machinesToCommand;
        synchronized (cluster) {
            heartbeatProcessor.expireLeases();
            if (now - lastPlanStartMicros > MAX_PLAN_INTERVAL_MICROS) {
                requests.requestPlan();
            }
            planIfDue();
            requests.requestCommands(interruptionDrain.stopInterruptedTasks(now));
            // A few at a time: the others are told in answer to their next heartbeats anyway.
            machinesToCommand = requests.takeMachinesToCommand(MAX_COMMANDS_PER_TICK);
        }
        for (Machine machine : machinesToCommand) {
            agentClient.sendCommands(machine, heartbeatProcessor);
        }
    }

    /**
     * Plans anew if anything has changed since the last time, and seldom enough that planning leaves most of the
     * processor to heartbeats: at a fraction of a core one plan for hundreds of machines takes many milliseconds.
     */
    private void planIfDue() {
        long now = eventLoop.nowMicros();
        if (!requests.isPlanNeeded()
                || !mayAct.getAsBoolean()
                || now - lastPlanStartMicros
                        < Math.max(MIN_PLAN_INTERVAL_MICROS, PLAN_INTERVAL_FACTOR * lastPlanDurationMicros)) {
            return;
        }
        requests.planStarted();
        lastPlanStartMicros = now;
        PlacementPlan plan = planner.plan(now, eventLoop.wallMicros());
        heartbeatProcessor.usePlan(plan);
        for (Allocation allocation : plan.preemptions()) {
            LOG.debug("preempting task {}/{}", allocation.uid(), allocation.taskIndex());
            allocation.stop(allocation.job().spec().checkpointDurationMicros() + COMMAND_DELIVERY_ALLOWANCE_MICROS);
            requests.requestCommands(allocation.machine());
        }
        lastPlanDurationMicros = eventLoop.nowMicros() - now;
        planCount++;
        totalPlanDurationMicros += lastPlanDurationMicros;
    }
}
