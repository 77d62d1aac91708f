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
 * Computes placement plans as often as their cost allows, and sends commands that can't wait for the next heartbeat of
 * their machine. Runs on the event loop, and holds the cluster lock except while sending.
 */
final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);
    private static final long MIN_PLAN_INTERVAL_MICROS = 200_000;
    private static final long MAX_PLAN_INTERVAL_MICROS = 2_000_000;
    /** The interval between plans is at least the duration of the last plan times this factor. */
    private static final long PLAN_INTERVAL_FACTOR = 8;

    private static final int MAX_COMMANDS_PER_TICK = 6;
    /** Time allowed for the delivery of a command, in addition to the duration of a checkpoint. */
    private static final long COMMAND_DELIVERY_ALLOWANCE_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final Planner planner;
    private final HeartbeatProcessor heartbeatProcessor;
    private final AgentClient agentClient;
    private final SchedulingRequests requests;
    private final SpotInterruptionDrain interruptionDrain;
    private final BooleanSupplier mayLaunchOrScale;
    private long lastPlanStartMicros;
    private long lastPlanDurationMicros;
    private long totalPlanDurationMicros;
    private long planCount;

    /** @param mayLaunchOrScale true while tasks may be launched */
    SchedulingCycle(
            EventLoop eventLoop,
            Cluster cluster,
            Planner planner,
            HeartbeatProcessor heartbeatProcessor,
            AgentClient agentClient,
            SchedulingRequests requests,
            SpotInterruptionDrain interruptionDrain,
            BooleanSupplier mayLaunchOrScale) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.planner = planner;
        this.heartbeatProcessor = heartbeatProcessor;
        this.agentClient = agentClient;
        this.requests = requests;
        this.interruptionDrain = interruptionDrain;
        this.mayLaunchOrScale = mayLaunchOrScale;
    }

    /** The number of plans computed in this term. */
    long planCount() {
        return planCount;
    }

    /** The total time spent on planning in this term. */
    long totalPlanDurationMicros() {
        return totalPlanDurationMicros;
    }

    /** Expires the leases of silent machines, plans if due, and sends urgent commands. */
    void tick(long now) {
        List<Machine> machinesToCommand;
        synchronized (cluster) {
            heartbeatProcessor.expireLeases();
            if (now - lastPlanStartMicros > MAX_PLAN_INTERVAL_MICROS) {
                requests.requestPlan();
            }
            // Whatever a plan fails at, cancelled tasks still have to be stopped.
            eventLoop.unexpectedErrors().runConfined("a placement plan", this::planIfDue);
            requests.requestCommands(interruptionDrain.stopInterruptedTasks(now));
            // Only a few per tick: the others get their commands in the responses to their next heartbeats anyway.
            machinesToCommand = requests.takeMachinesToCommand(MAX_COMMANDS_PER_TICK);
        }
        for (Machine machine : machinesToCommand) {
            agentClient.sendCommands(machine, heartbeatProcessor);
        }
    }

    /**
     * Computes a new plan if one has been requested since the last. The minimum interval leaves most of the CPU time to
     * heartbeats: with a fraction of a core, one plan for hundreds of machines takes many milliseconds.
     */
    private void planIfDue() {
        long now = eventLoop.nowMicros();
        if (!requests.isPlanNeeded()
                || !mayLaunchOrScale.getAsBoolean()
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
            allocation.stop(allocation.job().spec().checkpointGracePeriodMicros() + COMMAND_DELIVERY_ALLOWANCE_MICROS);
            requests.requestCommands(allocation.machine());
        }
        lastPlanDurationMicros = eventLoop.nowMicros() - now;
        planCount++;
        totalPlanDurationMicros += lastPlanDurationMicros;
    }
}
