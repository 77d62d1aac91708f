package io.sillreel.pipeline;

import io.sillreel.pipeline.PipelinePlan.Link;
import io.sillreel.pipeline.PipelinePlan.Port;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How far a pipeline has come. Each link settles once; a job is ready once all links into it have emitted, and skipped
 * once one of them has not. A cancelled pipeline releases nothing more. Jobs may join behind those that are there, and
 * are forgotten once they are over; either costs as much as the links that it touches.
 */
public final class PipelineRun {
    /** How a link between two jobs stands; each leaves {@code OPEN} once. */
    public enum LinkState {
        OPEN,
        EMITTED,
        CLOSED,
        SKIPPED
    }

    /** How a job stands within its pipeline. */
    public enum JobState {
        WAITING,
        READY,
        RELEASED,
        SUCCEEDED,
        FAILED,
        SKIPPED,
        CANCELLED
    }

    private static final class Node {
        final String job;
        final Map<String, Link> into = new LinkedHashMap<>();
        final Map<String, Link> outOf = new LinkedHashMap<>();
        /** Its place in the compiled order. */
        long place;
        /** Links into it that have not emitted; review looks at them only when one has settled. */
        int notEmitted;
        /** Known only because others need it: its end is found, not driven from here. */
        boolean observed;

        JobState state = JobState.WAITING;

        Node(String job) {
            this.job = job;
        }
    }

    private final Map<String, LinkState> links = new HashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private long places;
    private boolean isCancelled;

    public PipelineRun(PipelinePlan plan) {
        plan.order().forEach(job -> add(job, plan.into(job)));
    }

    /**
     * A job joins with its links from jobs that are there. It comes after them in the compiled order, since they were
     * admitted before it.
     */
    public void add(String job, Collection<Link> into) {
        observe(job);
        Node node = nodes.get(job);
        node.observed = false;
        for (Link link : into) {
            Node from = nodes.get(link.from());
            if (from == null) {
                throw new IllegalArgumentException("link " + link.id() + " begins at no job");
            }
            node.into.put(link.id(), link);
            from.outOf.put(link.id(), link);
            node.notEmitted++;
            links.put(link.id(), LinkState.OPEN);
        }
        if (node.notEmitted == 0 && node.state == JobState.WAITING) {
            node.state = isCancelled ? JobState.CANCELLED : JobState.READY;
        }
    }

    /** A job that others need and that is not driven here, or not yet; its end has still to be found. */
    public void observe(String job) {
        nodes.computeIfAbsent(job, name -> {
            Node node = new Node(name);
            node.observed = true;
            node.place = places++;
            return node;
        });
    }

    public boolean knows(String job) {
        return nodes.containsKey(job);
    }

    public boolean isObserved(String job) {
        return nodes.containsKey(job) && nodes.get(job).observed;
    }

    /** Jobs that may be released now, in compiled order. */
    public List<String> ready() {
        return inOrder(nodes.values().stream()
                .filter(node -> node.state == JobState.READY)
                .toList());
    }

    public void release(String job) {
        expect(job, JobState.READY).state = JobState.RELEASED;
    }

    /**
     * Settles a released job and with it the links out of it, once and for all.
     *
     * @return jobs that have become ready by that, in compiled order
     */
    public List<String> settle(String job, boolean succeeded) {
        return end(expect(job, JobState.RELEASED), succeeded);
    }

    /** The end of an observed job has been found. */
    public List<String> resolveObserved(String job, boolean succeeded) {
        Node node = nodes.get(job);
        return node == null || !node.observed || node.state != JobState.WAITING ? List.of() : end(node, succeeded);
    }

    private List<String> end(Node node, boolean succeeded) {
        node.state = isCancelled ? JobState.CANCELLED : succeeded ? JobState.SUCCEEDED : JobState.FAILED;
        Port taken = succeeded ? Port.SUCCESS : Port.FAILURE;
        List<Node> changed = settle(
                node,
                link -> isCancelled ? LinkState.SKIPPED : link.port() == taken ? LinkState.EMITTED : LinkState.CLOSED);
        return inOrder(
                changed.stream().filter(each -> each.state == JobState.READY).toList());
    }

    /**
     * Cancels one job, whatever it is doing: nothing that needs it is released any more.
     *
     * @return the jobs that are skipped by that, directly or through others, in compiled order
     */
    public List<String> cancel(String job) {
        Node node = nodes.get(job);
        if (node == null
                || node.state == JobState.SUCCEEDED
                || node.state == JobState.FAILED
                || node.state == JobState.CANCELLED) {
            return List.of();
        }
        node.state = JobState.CANCELLED;
        List<Node> changed = settle(node, link -> LinkState.CLOSED);
        return inOrder(
                changed.stream().filter(each -> each.state == JobState.SKIPPED).toList());
    }

    /** Releases nothing from now on; released jobs still settle. */
    public void cancel() {
        isCancelled = true;
        for (Node node : List.copyOf(nodes.values())) {
            if (node.state == JobState.WAITING || node.state == JobState.READY) {
                node.state = JobState.CANCELLED;
                settle(node, link -> LinkState.SKIPPED);
            }
        }
    }

    public boolean isCancelled() {
        return isCancelled;
    }

    /** Drops a job that is over, and its links. */
    public void forget(String job) {
        Node node = nodes.remove(job);
        if (node == null) {
            return;
        }
        for (Link link : node.outOf.values()) {
            links.remove(link.id());
            nodes.get(link.to()).into.remove(link.id());
        }
        for (Link link : node.into.values()) {
            links.remove(link.id());
            nodes.get(link.from()).outOf.remove(link.id());
        }
    }

    public JobState state(String job) {
        Node node = nodes.get(job);
        return node == null ? null : node.state;
    }

    public LinkState link(String id) {
        return links.get(id);
    }

    /** Jobs with a link into the given one. */
    public List<String> upstream(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.into.values().stream().map(Link::from).toList();
    }

    /** Jobs that the given one has a link to. */
    public List<String> downstream(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.outOf.values().stream().map(Link::to).toList();
    }

    /** True once nothing can happen any more. */
    public boolean isOver() {
        return nodes.values().stream()
                .noneMatch(node -> node.state == JobState.WAITING
                        || node.state == JobState.READY
                        || node.state == JobState.RELEASED);
    }

    /** True if a job failed whose failure no link took up. */
    public boolean hasFailed() {
        return nodes.values().stream()
                .anyMatch(node -> node.state == JobState.FAILED
                        && node.outOf.values().stream().noneMatch(link -> link.port() == Port.FAILURE));
    }

    private interface Settlement {
        LinkState of(Link link);
    }

    /** Settles the links out of a job, and of those that are skipped by that; a worklist, since chains may be long. */
    private List<Node> settle(Node first, Settlement settlement) {
        List<Node> changed = new ArrayList<>();
        Deque<Node> open = new ArrayDeque<>();
        settleLinks(first, settlement, open);
        while (!open.isEmpty()) {
            Node node = open.poll();
            if (isCancelled || node.state != JobState.WAITING) {
                continue;
            }
            boolean skipped = node.into.values().stream()
                    .anyMatch(link ->
                            links.get(link.id()) == LinkState.CLOSED || links.get(link.id()) == LinkState.SKIPPED);
            if (skipped) {
                node.state = JobState.SKIPPED;
                changed.add(node);
                settleLinks(node, link -> LinkState.SKIPPED, open);
            } else if (node.notEmitted == 0) {
                node.state = JobState.READY;
                changed.add(node);
            }
        }
        return changed;
    }

    private void settleLinks(Node node, Settlement settlement, Deque<Node> open) {
        for (Link link : node.outOf.values()) {
            if (links.get(link.id()) != LinkState.OPEN) {
                continue;
            }
            LinkState state = settlement.of(link);
            links.put(link.id(), state);
            Node to = nodes.get(link.to());
            if (state == LinkState.EMITTED) {
                to.notEmitted--;
                if (to.notEmitted > 0) {
                    continue;
                }
            }
            open.add(to);
        }
    }

    private static List<String> inOrder(Collection<Node> some) {
        return some.stream()
                .sorted(Comparator.comparingLong(node -> node.place))
                .map(node -> node.job)
                .toList();
    }

    private Node expect(String job, JobState state) {
        Node node = nodes.get(job);
        if (node == null || node.state != state) {
            throw new IllegalStateException(
                    "job " + job + " is " + (node == null ? null : node.state) + ", not " + state);
        }
        return node;
    }
}
