package io.sillreel;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.binder.MeterBinder;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.sillreel.heartbeat.HeartbeatRelay;
import io.sillreel.heartbeat.HeartbeatRouter;
import io.sillreel.heartbeat.WorkerLoadBalancer;
import io.sillreel.http.Json;
import io.sillreel.http.RequestQueue;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.overload.AdaptiveLimit;
import io.sillreel.overload.EventLoopLag;

/** The figures of one controller, as Micrometer's meters and as the JSON that operators are served. */
final class ControllerMetrics implements MeterBinder {
    private final HeartbeatRouter heartbeatRouter;
    private final LeaderElection leadership;
    private final AdaptiveLimit admissionLimit;
    private final HeartbeatRelay heartbeatRelay;
    private final WorkerLoadBalancer loadBalancer;
    private final EventLoopLag eventLoopLag;
    private final RequestQueue requestQueue;
    private MeterRegistry ownRegistry;

    ControllerMetrics(
            HeartbeatRouter reports,
            LeaderElection leadership,
            AdaptiveLimit users,
            HeartbeatRelay heartbeatRelay,
            WorkerLoadBalancer loadBalancer,
            EventLoopLag eventLoopLag,
            RequestQueue requestQueue) {
        this.heartbeatRouter = reports;
        this.leadership = leadership;
        this.admissionLimit = users;
        this.heartbeatRelay = heartbeatRelay;
        this.loadBalancer = loadBalancer;
        this.eventLoopLag = eventLoopLag;
        this.requestQueue = requestQueue;
    }

    @Override
    public void bindTo(MeterRegistry to) {
        FunctionCounter.builder("sillreel.reports", heartbeatRouter, HeartbeatRouter::heartbeatCount)
                .register(to);
        FunctionCounter.builder("sillreel.reports.handed", heartbeatRouter, HeartbeatRouter::relayedCount)
                .register(to);
        FunctionCounter.builder("sillreel.reports.passed", heartbeatRelay, HeartbeatRelay::relayedCount)
                .register(to);
        FunctionCounter.builder("sillreel.reports.lost", heartbeatRelay, HeartbeatRelay::lostCount)
                .register(to);
        FunctionCounter.builder("sillreel.reports.batches", heartbeatRelay, HeartbeatRelay::batchCount)
                .register(to);
        FunctionCounter.builder("sillreel.workers.moved", heartbeatRouter, HeartbeatRouter::redirectCount)
                .register(to);
        FunctionCounter.builder("sillreel.requests.refused", admissionLimit, AdaptiveLimit::refusedCount)
                .register(to);
        Gauge.builder("sillreel.requests.limit", admissionLimit, AdaptiveLimit::limit)
                .register(to);
        Gauge.builder("sillreel.workers", loadBalancer, WorkerLoadBalancer::workerCount)
                .register(to);
        Gauge.builder("sillreel.version", () -> 1)
                .tag("version", Controller.version())
                .register(to);
        Gauge.builder("sillreel.leads", leadership, LeaderElection::heldTerm).register(to);
        Gauge.builder("sillreel.late.ms", eventLoopLag, each -> each.currentMicros() / 1_000.0)
                .register(to);
        Gauge.builder("sillreel.late.most.ms", eventLoopLag, each -> each.maxMicros() / 1_000.0)
                .register(to);
        Gauge.builder("sillreel.requests.waiting", requestQueue, RequestQueue::waitingCount)
                .register(to);
        FunctionCounter.builder("sillreel.requests.given.up", requestQueue, RequestQueue::abandonedCount)
                .register(to);
        new JvmMemoryMetrics().bindTo(to);
    }

    /** All meters by name, with the values of their tags. */
    ObjectNode values() {
        if (ownRegistry == null) {
            ownRegistry = new SimpleMeterRegistry();
            bindTo(ownRegistry);
        }
        ObjectNode all = Json.object();
        for (Meter meter : ownRegistry.getMeters()) {
            StringBuilder name = new StringBuilder(meter.getId().getName());
            for (Tag tag : meter.getId().getTags()) {
                name.append('/').append(tag.getValue());
            }
            meter.measure().forEach(measurement -> all.put(name.toString(), measurement.getValue()));
        }
        return all;
    }
}
