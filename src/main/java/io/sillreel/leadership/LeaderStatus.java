package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.statestore.WriteQueue;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts of jobs, tasks, machines and CPUs of a term for the log and metrics. Guarded by the cluster lock. */
final class LeaderStatus {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderStatus.class);
    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    private final EventLoop eventLoop;
    private final long term;
    private final Cluster cluster;
    private final CapacityPlanner capacity;
    private final WriteQueue writeQueue;
    private long loggedMicros;

    LeaderStatus(EventLoop eventLoop, long term, Cluster cluster, CapacityPlanner capacity, WriteQueue writeQueue) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.cluster = cluster;
        this.capacity = capacity;
        this.writeQueue = writeQueue;
    }

    /** Logs one line every ten seconds while there are jobs or machines. */
    void logPeriodically() {
        long now = eventLoop.nowMicros();
        if (now - loggedMicros < LOG_INTERVAL_MICROS
                || cluster.jobs().isEmpty() && cluster.machines().isEmpty()) {
            return;
        }
        loggedMicros = now;
        Map<String, Double> gauges = gauges();
        LOG.info(
                "term {}: {} unfinished jobs, {} waiting tasks; cpus: {} up, {} busy, {} starting, {} required, "
                        + "{} steady demand; {} machines, {} on-demand",
                term,
                rounded(gauges, "sillreel.jobs.unfinished"),
                rounded(gauges, "sillreel.tasks.waiting"),
                rounded(gauges, "sillreel.cpus.up"),
                rounded(gauges, "sillreel.cpus.busy"),
                rounded(gauges, "sillreel.cpus.starting"),
                rounded(gauges, "sillreel.cpus.wanted"),
                rounded(gauges, "sillreel.cpus.standing"),
                rounded(gauges, "sillreel.machines"),
                rounded(gauges, "sillreel.machines.ordinary"));
    }

    private static long rounded(Map<String, Double> gauges, String name) {
        return Math.round(gauges.get(name));
    }

    /** The values of the metrics by name; takes the cluster lock. */
    Map<String, Double> gauges() {
        synchronized (cluster) {
            Map<String, Double> gauges = new HashMap<>();
            int waiting = 0;
            for (ActiveJob job : cluster.jobs()) {
                waiting += job.isCancelled() || job.hasUnmetDependencies() ? 0 : job.waitingCount();
            }
            double cpus = cluster.machines().stream()
                    .filter(machine -> machine.state() == Machine.State.UP)
                    .mapToDouble(machine -> machine.type().cpus())
                    .sum();
            gauges.put("sillreel.jobs.unfinished", (double) cluster.jobs().size());
            gauges.put("sillreel.tasks.waiting", (double) waiting);
            gauges.put("sillreel.machines", (double) cluster.machines().size());
            gauges.put("sillreel.machines.ordinary", (double) cluster.machines().stream()
                    .filter(machine -> !machine.isSpot())
                    .count());
            gauges.put("sillreel.machines.quarantined", (double) cluster.machines().stream()
                    .filter(machine -> machine.health().isQuarantined())
                    .count());
            gauges.put("sillreel.cpus.up", cpus);
            gauges.put("sillreel.cpus.busy", capacity.busyCpus());
            gauges.put("sillreel.cpus.starting", capacity.startingCpus());
            gauges.put("sillreel.cpus.wanted", capacity.requiredCpus(eventLoop.wallMicros()));
            gauges.put("sillreel.cpus.standing", capacity.steadyDemandCpus(eventLoop.wallMicros()));
            gauges.put("sillreel.writes.waiting", (double) writeQueue.pendingCount());
            gauges.put("sillreel.machines.unheard", (double)
                    cluster.unreconciledMachines().size());
            gauges.put("sillreel.work", (double) cluster.stepCount());
            return gauges;
        }
    }
}
