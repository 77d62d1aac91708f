package io.sillreel.pipeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** Jobs and the links between them, compiled into a stable topological order in which the job id breaks ties. */
public final class PipelinePlan {
    /** Which settlement of the upstream job makes a link emit; the other closes it. */
    public enum Condition {
        ON_SUCCESS,
        ON_FAILURE
    }

    /** A link from one job to another; the downstream job needs every one of its links to emit. */
    public record Dependency(String id, String upstream, Condition condition, String downstream) {}

    private final List<String> topologicalOrder;
    private final List<Dependency> dependencies;
    private final Map<String, List<Dependency>> dependenciesOf = new HashMap<>();
    private final Map<String, List<Dependency>> dependentsOf = new HashMap<>();

    private PipelinePlan(List<String> order, List<Dependency> links) {
        this.topologicalOrder = order;
        this.dependencies = links;
        for (Dependency link : links) {
            dependenciesOf
                    .computeIfAbsent(link.downstream(), job -> new ArrayList<>())
                    .add(link);
            dependentsOf
                    .computeIfAbsent(link.upstream(), job -> new ArrayList<>())
                    .add(link);
        }
    }

    /** The link by which a job needs the success of another one. */
    public static Dependency onSuccessOf(String job, String awaited) {
        return new Dependency(awaited + ">" + job, awaited, Condition.ON_SUCCESS, job);
    }

    /** @throws IllegalArgumentException if an id repeats, a link ends nowhere, or there is a cycle */
    public static PipelinePlan compile(Collection<String> jobs, Collection<Dependency> links) {
        Map<String, Integer> waitingFor = new HashMap<>();
        for (String job : jobs) {
            if (waitingFor.put(job, 0) != null) {
                throw new IllegalArgumentException("job " + job + " stands twice");
            }
        }
        Map<String, List<String>> downstream = new HashMap<>();
        Set<String> linkIds = new HashSet<>();
        for (Dependency link : links) {
            if (!linkIds.add(link.id())) {
                throw new IllegalArgumentException("link " + link.id() + " stands twice");
            }
            if (!waitingFor.containsKey(link.upstream()) || !waitingFor.containsKey(link.downstream())) {
                throw new IllegalArgumentException("link " + link.id() + " ends at no job");
            }
            waitingFor.merge(link.downstream(), 1, Integer::sum);
            downstream
                    .computeIfAbsent(link.upstream(), job -> new ArrayList<>())
                    .add(link.downstream());
        }
        PriorityQueue<String> free = new PriorityQueue<>();
        waitingFor.forEach((job, count) -> {
            if (count == 0) {
                free.add(job);
            }
        });
        List<String> order = new ArrayList<>();
        while (!free.isEmpty()) {
            String job = free.poll();
            order.add(job);
            for (String next : downstream.getOrDefault(job, List.of())) {
                if (waitingFor.merge(next, -1, Integer::sum) == 0) {
                    free.add(next);
                }
            }
        }
        if (order.size() < waitingFor.size()) {
            throw new IllegalArgumentException("the links form a cycle");
        }
        return new PipelinePlan(List.copyOf(order), List.copyOf(links));
    }

    public List<String> topologicalOrder() {
        return topologicalOrder;
    }

    public List<Dependency> dependencies() {
        return dependencies;
    }

    public List<Dependency> dependenciesOf(String job) {
        return dependenciesOf.getOrDefault(job, List.of());
    }

    public List<Dependency> dependentsOf(String job) {
        return dependentsOf.getOrDefault(job, List.of());
    }
}
