package io.sillreel.pipeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** A DAG of jobs, compiled into a deterministic topological order in which the job id breaks ties (ADR 0006). */
public final class PipelinePlan {
    /** The result of the upstream job that satisfies a dependency; with any other result it is never satisfied. */
    public enum Condition {
        ON_SUCCESS,
        ON_FAILURE
    }

    /** A dependency between two jobs; the downstream job needs all of its dependencies to be satisfied. */
    public record Dependency(String id, String upstream, Condition condition, String downstream) {}

    private final List<String> topologicalOrder;
    private final Map<String, List<Dependency>> dependenciesOf = new HashMap<>();

    private PipelinePlan(List<String> topologicalOrder, Collection<Dependency> dependencies) {
        this.topologicalOrder = topologicalOrder;
        for (Dependency dependency : dependencies) {
            dependenciesOf
                    .computeIfAbsent(dependency.downstream(), job -> new ArrayList<>())
                    .add(dependency);
        }
    }

    /** Returns the dependency of a job on the success of another one. */
    public static Dependency onSuccessOf(String job, String upstream) {
        return new Dependency(upstream + ">" + job, upstream, Condition.ON_SUCCESS, job);
    }

    /**
     * Compiles jobs and their dependencies.
     *
     * @throws IllegalArgumentException if an id is duplicated, a dependency refers to a job that is not part of the
     *     plan, or there is a cycle
     */
    public static PipelinePlan compile(Collection<String> jobs, Collection<Dependency> dependencies) {
        Map<String, Integer> unmetCounts = new HashMap<>();
        for (String job : jobs) {
            if (unmetCounts.put(job, 0) != null) {
                throw new IllegalArgumentException("job " + job + " is listed twice");
            }
        }
        Set<String> ids = new HashSet<>();
        Map<String, List<String>> downstreamJobs = new HashMap<>();
        for (Dependency dependency : dependencies) {
            if (!ids.add(dependency.id())) {
                throw new IllegalArgumentException("dependency " + dependency.id() + " is listed twice");
            }
            if (!unmetCounts.containsKey(dependency.upstream()) || !unmetCounts.containsKey(dependency.downstream())) {
                throw new IllegalArgumentException("dependency " + dependency.id() + " names no job of the plan");
            }
            unmetCounts.merge(dependency.downstream(), 1, Integer::sum);
            downstreamJobs
                    .computeIfAbsent(dependency.upstream(), job -> new ArrayList<>())
                    .add(dependency.downstream());
        }
        return new PipelinePlan(sort(unmetCounts, downstreamJobs), dependencies);
    }

    /** Sorts the jobs topologically; modifies the counts of unmet dependencies. */
    private static List<String> sort(Map<String, Integer> unmetCounts, Map<String, List<String>> downstreamJobs) {
        PriorityQueue<String> ready = new PriorityQueue<>();
        unmetCounts.forEach((job, count) -> {
            if (count == 0) {
                ready.add(job);
            }
        });
        List<String> order = new ArrayList<>();
        while (!ready.isEmpty()) {
            String job = ready.poll();
            order.add(job);
            for (String downstream : downstreamJobs.getOrDefault(job, List.of())) {
                if (unmetCounts.merge(downstream, -1, Integer::sum) == 0) {
                    ready.add(downstream);
                }
            }
        }
        if (order.size() < unmetCounts.size()) {
            throw new IllegalArgumentException("the dependencies form a cycle");
        }
        return List.copyOf(order);
    }

    /** All jobs, each after its dependencies. */
    public List<String> topologicalOrder() {
        return topologicalOrder;
    }

    /** The dependencies of a job on upstream jobs. */
    public List<Dependency> dependenciesOf(String job) {
        return dependenciesOf.getOrDefault(job, List.of());
    }
}
