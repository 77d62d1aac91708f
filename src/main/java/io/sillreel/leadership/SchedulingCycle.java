package io.sillreel.leadership;

import io.sillreel.agent.AgentCommands;
import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.SpotInterruptionDrain;
import io.sillreel.heartbeat.HeartbeatProcessor;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.placement.PlacementPlan;
import io.sillreel.placement.Planner;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes plans as often as their cost allows, and sends machines directly what can't wait for their next report. */
final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);
    private static final long MIN_PLAN_INTERVAL_MICROS = 200_000;
    private static final long MAX_PLAN_INTERVAL_MICROS = 2_000_000;
    private static final long PLAN_INTERVAL_FACTOR = 8;
    private static final int MAX_COMMANDS_PER_TICK = 6;
    private static final long COMMAND_TIMEOUT_MICROS = 3_000_000;
    private static final long COMMAND_DELIVERY_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final long term;
    private final Cluster cluster;
    private final HttpClient httpClient;
    private final Planner planner;
    private final HeartbeatProcessor heartbeatProcessor;
    private final SpotInterruptionDrain interruptionDrain;
    private final BooleanSupplier mayAct;
    private final Set<Machine> pendingStops = new LinkedHashSet<>();
    private boolean closed;
    private boolean dirty = true;
    private long plannedAtMicros;
    private long lastPlanMicros;
    private long totalPlanMicros;
    private long planCount;

    /** @param mayAct true while launches are allowed */
    SchedulingCycle(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            HttpClient httpClient,
            Planner planner,
            HeartbeatProcessor heartbeatProcessor,
            SpotInterruptionDrain interruptionDrain,
            BooleanSupplier mayAct) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.cluster = cluster;
        this.httpClient = httpClient;
        this.planner = planner;
        this.heartbeatProcessor = heartbeatProcessor;
        this.interruptionDrain = interruptionDrain;
        this.mayAct = mayAct;
    }

    void close() {
        closed = true;
    }

    /** There may be something new to plan. */
    void markDirty() {
        dirty = true;
    }

    long planCount() {
        return planCount;
    }

    /** The time that all plans took. */
    long totalPlanMicros() {
        return totalPlanMicros;
    }

    /** Lets what is over expire, plans if that is due, and sends out what can't wait. */
    void tick(long now) {
        List<Machine> toPush = new ArrayList<>();
        synchronized (cluster) {
            heartbeatProcessor.expireLeases();
            dirty |= now - plannedAtMicros > MAX_PLAN_INTERVAL_MICROS;
            planIfDue();
            pendingStops.addAll(interruptionDrain.stopInterruptedTasks(now));
            // A few at a time: what is not pushed is told in answer to the machine's next report anyway.
            var due = pendingStops.iterator();
            while (due.hasNext() && toPush.size() < MAX_COMMANDS_PER_TICK) {
                toPush.add(due.next());
                due.remove();
            }
        }
        toPush.forEach(this::sendCommands);
    }

    /**
     * Plans anew if anything has changed since the last time, and seldom enough that planning leaves most of the
     * processor to reports: at a fraction of a core one plan for hundreds of machines takes many milliseconds.
     */
    private void planIfDue() {
        long now = eventLoop.nowMicros();
        if (!dirty
                || !mayAct.getAsBoolean()
                || now - plannedAtMicros < Math.max(MIN_PLAN_INTERVAL_MICROS, PLAN_INTERVAL_FACTOR * lastPlanMicros)) {
            return;
        }
        dirty = false;
        plannedAtMicros = now;
        PlacementPlan plan = planner.plan(now, eventLoop.wallMicros());
        heartbeatProcessor.usePlan(plan);
        for (Allocation allocation : plan.preemptions()) {
            LOG.debug("preempting task {}/{}", allocation.uid(), allocation.taskIndex());
            allocation.stop(allocation.job().spec().checkpointDurationMicros() + COMMAND_DELIVERY_MICROS);
            pendingStops.add(allocation.machine());
        }
        lastPlanMicros = eventLoop.nowMicros() - now;
        planCount++;
        totalPlanMicros += lastPlanMicros;
    }

    /** The tasks of the job are to be stopped as soon as their machines can be told. */
    void requestStops(ActiveJob job) {
        for (Allocation allocation : cluster.allocationIndex().ofJob(job)) {
            pendingStops.add(allocation.machine());
        }
    }

    /** Sends a machine its commands without waiting for its next report; what gets lost is repeated there. */
    private void sendCommands(Machine machine) {
        if (machine.address() == null || !machine.isReconciled()) {
            return;
        }
        AgentCommands commands = new AgentCommands();
        heartbeatProcessor.addCommands(machine, commands);
        if (commands.isEmpty()) {
            return;
        }
        HttpRequest request = HttpRequest.post(
                "/do",
                commands.toJson(term).put("shift", machine.heartbeatOrder().epoch()));
        httpClient.send(machine.address(), request, COMMAND_TIMEOUT_MICROS).thenAccept(response -> {
            if (!closed && (response.status() == 200 || response.status() == 409)) {
                Heartbeat heartbeat = Heartbeat.read(response.body());
                if (heartbeat != null) {
                    heartbeatProcessor.processCommandResponse(heartbeat);
                }
            }
        });
    }
}
