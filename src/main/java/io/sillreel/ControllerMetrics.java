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
import io.sillreel.http.UnexpectedErrors;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.overload.AdaptiveConcurrencyLimit;
import io.sillreel.overload.EventLoopLag;
import java.util.Map;

/** The metrics of one controller, as Micrometer meters and as the JSON that operators read at {@code /metrics}. */
final class ControllerMetrics implements MeterBinder {
    private final HeartbeatRouter heartbeatRouter;
    private final LeaderElection leadership;
    private final AdaptiveConcurrencyLimit concurrencyLimit;
    private final HeartbeatRelay heartbeatRelay;
    private final WorkerLoadBalancer loadBalancer;
    private final EventLoopLag eventLoopLag;
    private final RequestQueue requestQueue;
    private final UnexpectedErrors unexpectedErrors;
    /** Null until the JSON form is first requested. */
    private MeterRegistry ownRegistry;

    ControllerMetrics(
            HeartbeatRouter heartbeatRouter,
            LeaderElection leadership,
            AdaptiveConcurrencyLimit concurrencyLimit,
            HeartbeatRelay heartbeatRelay,
            WorkerLoadBalancer loadBalancer,
            EventLoopLag eventLoopLag,
            RequestQueue requestQueue,
            UnexpectedErrors unexpectedErrors) {
        this.heartbeatRouter = heartbeatRouter;
        this.leadership = leadership;
        this.concurrencyLimit = concurrencyLimit;
        this.heartbeatRelay = heartbeatRelay;
        this.loadBalancer = loadBalancer;
        this.eventLoopLag = eventLoopLag;
        this.requestQueue = requestQueue;
        this.unexpectedErrors = unexpectedErrors;
    }

    @Override
    public void bindTo(MeterRegistry registry) {
        FunctionCounter.builder("sillreel.reports", heartbeatRouter, HeartbeatRouter::heartbeatCount)
                .register(registry);
        FunctionCounter.builder("sillreel.reports.handed", heartbeatRouter, HeartbeatRouter::relayedCount)
                .register(registry);
        FunctionCounter.builder("sillreel.reports.passed", heartbeatRelay, HeartbeatRelay::relayedCount)
                .register(registry);
        FunctionCounter.builder("sillreel.reports.lost", heartbeatRelay, HeartbeatRelay::lostCount)
                .register(registry);
        FunctionCounter.builder("sillreel.reports.batches", heartbeatRelay, HeartbeatRelay::batchCount)
                .register(registry);
        FunctionCounter.builder("sillreel.workers.moved", heartbeatRouter, HeartbeatRouter::redirectCount)
                .register(registry);
        FunctionCounter.builder("sillreel.requests.refused", concurrencyLimit, AdaptiveConcurrencyLimit::refusedCount)
                .register(registry);
        FunctionCounter.builder(
                        "sillreel.requests.timed.out", concurrencyLimit, AdaptiveConcurrencyLimit::timedOutCount)
                .register(registry);
        Gauge.builder("sillreel.requests.limit", concurrencyLimit, AdaptiveConcurrencyLimit::limit)
                .register(registry);
        Gauge.builder("sillreel.workers", loadBalancer, WorkerLoadBalancer::workerCount)
                .register(registry);
        Gauge.builder("sillreel.version", () -> 1)
                .tag("version", Controller.version())
                .register(registry);
        Gauge.builder("sillreel.leads", leadership, LeaderElection::heldTerm).register(registry);
        Gauge.builder("sillreel.late.ms", eventLoopLag, each -> each.currentMicros() / 1_000.0)
                .register(registry);
        Gauge.builder("sillreel.late.most.ms", eventLoopLag, each -> each.maxMicros() / 1_000.0)
                .register(registry);
        Gauge.builder("sillreel.requests.waiting", requestQueue, RequestQueue::waitingCount)
                .register(registry);
        Gauge.builder("sillreel.requests.stalled", requestQueue, each -> each.isStalled() ? 1 : 0)
                .register(registry);
        FunctionCounter.builder("sillreel.requests.given.up", requestQueue, RequestQueue::abandonedCount)
                .register(registry);
        FunctionCounter.builder("sillreel.errors.unexpected", unexpectedErrors, UnexpectedErrors::count)
                .register(registry);
        new JvmMemoryMetrics().bindTo(registry);
    }

    /**
     * The values of all meters by their names and the values of their tags, followed by further gauges.
     *
     * @param termGauges of the term that this controller leads, empty if it leads none
     * @param protectionGauges of the protection against lost writes
     */
    ObjectNode toJson(Map<String, Double> termGauges, Map<String, Double> protectionGauges) {
        if (ownRegistry == null) {
            ownRegistry = new SimpleMeterRegistry();
            bindTo(ownRegistry);
        }
        ObjectNode values = Json.object();
        for (Meter meter : ownRegistry.getMeters()) {
            StringBuilder name = new StringBuilder(meter.getId().getName());
            for (Tag tag : meter.getId().getTags()) {
                name.append('/').append(tag.getValue());
            }
            meter.measure().forEach(measurement -> values.put(name.toString(), measurement.getValue()));
        }
        termGauges.forEach(values::put);
        protectionGauges.forEach(values::put);
        return values;
    }
}
