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
    public enum Port {
        SUCCESS,
        FAILURE
    }

    /** A link from one job to another; the downstream job needs every one of its links to emit. */
    public record Link(String id, String from, Port port, String to) {}

    private final List<String> order;
    private final List<Link> links;
    private final Map<String, List<Link>> into = new HashMap<>();
    private final Map<String, List<Link>> outOf = new HashMap<>();

    private PipelinePlan(List<String> order, List<Link> links) {
        this.order = order;
        this.links = links;
        for (Link link : links) {
            into.computeIfAbsent(link.to(), job -> new ArrayList<>()).add(link);
            outOf.computeIfAbsent(link.from(), job -> new ArrayList<>()).add(link);
        }
    }

    /** The link by which a job needs the success of another one. */
    public static Link needs(String job, String awaited) {
        return new Link(awaited + ">" + job, awaited, Port.SUCCESS, job);
    }

    /** @throws IllegalArgumentException if an id repeats, a link ends nowhere, or there is a cycle */
    public static PipelinePlan compile(Collection<String> jobs, Collection<Link> links) {
        Map<String, Integer> waitingFor = new HashMap<>();
        for (String job : jobs) {
            if (waitingFor.put(job, 0) != null) {
                throw new IllegalArgumentException("job " + job + " stands twice");
            }
        }
        Map<String, List<String>> downstream = new HashMap<>();
        Set<String> linkIds = new HashSet<>();
        for (Link link : links) {
            if (!linkIds.add(link.id())) {
                throw new IllegalArgumentException("link " + link.id() + " stands twice");
            }
            if (!waitingFor.containsKey(link.from()) || !waitingFor.containsKey(link.to())) {
                throw new IllegalArgumentException("link " + link.id() + " ends at no job");
            }
            waitingFor.merge(link.to(), 1, Integer::sum);
            downstream.computeIfAbsent(link.from(), job -> new ArrayList<>()).add(link.to());
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

    public List<String> order() {
        return order;
    }

    public List<Link> links() {
        return links;
    }

    public List<Link> into(String job) {
        return into.getOrDefault(job, List.of());
    }

    public List<Link> outOf(String job) {
        return outOf.getOrDefault(job, List.of());
    }
}
