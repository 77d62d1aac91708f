package io.sillreel.pipeline;

import io.sillreel.pipeline.PipelinePlan.Condition;
import io.sillreel.pipeline.PipelinePlan.Dependency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How far a pipeline has come. Each dependency settles once; a job is ready once all links into it have emitted, and
 * skipped once one of them has not. A cancelled pipeline releases nothing more. Jobs may join behind those that are
 * there, and are forgotten once they are over; either costs as much as the links that it touches.
 */
public final class PipelineRun {
    /** How a dependency between two jobs stands; each leaves {@code OPEN} once. */
    public enum DependencyState {
        PENDING,
        SATISFIED,
        UNSATISFIED,
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
        final Map<String, Dependency> dependencies = new LinkedHashMap<>();
        final Map<String, Dependency> dependents = new LinkedHashMap<>();
        /** Its place in the compiled order. */
        long position;
        /** Links into it that have not emitted; review looks at them only when one has settled. */
        int unsatisfiedCount;
        /** Known only because others need it: its end is found, not driven from here. */
        boolean isExternal;

        JobState state = JobState.WAITING;

        Node(String job) {
            this.job = job;
        }
    }

    private final Map<String, DependencyState> dependencyStates = new HashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private long nextPosition;
    private boolean isCancelled;

    public PipelineRun(PipelinePlan plan) {
        plan.topologicalOrder().forEach(job -> add(job, plan.dependenciesOf(job)));
    }

    /**
     * A job joins with its links from jobs that are there. It comes after them in the compiled order, since they were
     * admitted before it.
     */
    public void add(String job, Collection<Dependency> into) {
        addExternal(job);
        Node node = nodes.get(job);
        node.isExternal = false;
        for (Dependency dependency : into) {
            Node from = nodes.get(dependency.upstream());
            if (from == null) {
                throw new IllegalArgumentException("dependency " + dependency.id() + " begins at no job");
            }
            node.dependencies.put(dependency.id(), dependency);
            from.dependents.put(dependency.id(), dependency);
            node.unsatisfiedCount++;
            dependencyStates.put(dependency.id(), DependencyState.PENDING);
        }
        if (node.unsatisfiedCount == 0 && node.state == JobState.WAITING) {
            node.state = isCancelled ? JobState.CANCELLED : JobState.READY;
        }
    }

    /** A job that others need and that is not driven here, or not yet; its end has still to be found. */
    public void addExternal(String job) {
        nodes.computeIfAbsent(job, name -> {
            Node node = new Node(name);
            node.isExternal = true;
            node.position = nextPosition++;
            return node;
        });
    }

    public boolean contains(String job) {
        return nodes.containsKey(job);
    }

    public boolean isExternal(String job) {
        return nodes.containsKey(job) && nodes.get(job).isExternal;
    }

    /** Jobs that may be released now, in compiled order. */
    public List<String> readyJobs() {
        return inTopologicalOrder(nodes.values().stream()
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
    public List<String> complete(String job, boolean succeeded) {
        return endJob(expect(job, JobState.RELEASED), succeeded);
    }

    /** The end of an observed job has been found. */
    public List<String> completeExternal(String job, boolean succeeded) {
        Node node = nodes.get(job);
        return node == null || !node.isExternal || node.state != JobState.WAITING ? List.of() : endJob(node, succeeded);
    }

    private List<String> endJob(Node node, boolean succeeded) {
        node.state = isCancelled ? JobState.CANCELLED : succeeded ? JobState.SUCCEEDED : JobState.FAILED;
        Condition taken = succeeded ? Condition.ON_SUCCESS : Condition.ON_FAILURE;
        List<Node> changed = resolveDependents(
                node,
                dependency -> isCancelled
                        ? DependencyState.SKIPPED
                        : dependency.condition() == taken ? DependencyState.SATISFIED : DependencyState.UNSATISFIED);
        return inTopologicalOrder(
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
        List<Node> changed = resolveDependents(node, dependency -> DependencyState.UNSATISFIED);
        return inTopologicalOrder(
                changed.stream().filter(each -> each.state == JobState.SKIPPED).toList());
    }

    /** Releases nothing from now on; released jobs still settle. */
    public void cancel() {
        isCancelled = true;
        for (Node node : List.copyOf(nodes.values())) {
            if (node.state == JobState.WAITING || node.state == JobState.READY) {
                node.state = JobState.CANCELLED;
                resolveDependents(node, dependency -> DependencyState.SKIPPED);
            }
        }
    }

    public boolean isCancelled() {
        return isCancelled;
    }

    /** Drops a job that is over, and its links. */
    public void remove(String job) {
        Node node = nodes.remove(job);
        if (node == null) {
            return;
        }
        for (Dependency dependency : node.dependents.values()) {
            dependencyStates.remove(dependency.id());
            nodes.get(dependency.downstream()).dependencies.remove(dependency.id());
        }
        for (Dependency dependency : node.dependencies.values()) {
            dependencyStates.remove(dependency.id());
            nodes.get(dependency.upstream()).dependents.remove(dependency.id());
        }
    }

    /** The state of a job; empty if the job is not part of the pipeline. */
    public Optional<JobState> state(String job) {
        return Optional.ofNullable(nodes.get(job)).map(node -> node.state);
    }

    /** True if the job is part of the pipeline and in that state. */
    public boolean isInState(String job, JobState state) {
        Node node = nodes.get(job);
        return node != null && node.state == state;
    }

    /** The state of a dependency; empty if it is not part of the pipeline. */
    public Optional<DependencyState> dependencyState(String id) {
        return Optional.ofNullable(dependencyStates.get(id));
    }

    /** Jobs with a dependency into the given one. */
    public List<String> upstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependencies.values().stream().map(Dependency::upstream).toList();
    }

    /** Jobs that the given one has a dependency to. */
    public List<String> downstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependents.values().stream().map(Dependency::downstream).toList();
    }

    /** True once nothing can happen any more. */
    public boolean isOver() {
        return nodes.values().stream()
                .noneMatch(node -> node.state == JobState.WAITING
                        || node.state == JobState.READY
                        || node.state == JobState.RELEASED);
    }

    /** True if a job failed whose failure no dependency took up. */
    public boolean hasUnhandledFailure() {
        return nodes.values().stream()
                .anyMatch(node -> node.state == JobState.FAILED
                        && node.dependents.values().stream()
                                .noneMatch(dependency -> dependency.condition() == Condition.ON_FAILURE));
    }

    private interface Outcome {
        DependencyState of(Dependency dependency);
    }

    /** Settles the links out of a job, and of those that are skipped by that; a worklist, since chains may be long. */
    private List<Node> resolveDependents(Node first, Outcome outcome) {
        List<Node> changed = new ArrayList<>();
        Deque<Node> open = new ArrayDeque<>();
        resolveDependencies(first, outcome, open);
        while (!open.isEmpty()) {
            Node node = open.poll();
            if (isCancelled || node.state != JobState.WAITING) {
                continue;
            }
            boolean skipped = node.dependencies.values().stream()
                    .anyMatch(dependency -> dependencyStates.get(dependency.id()) == DependencyState.UNSATISFIED
                            || dependencyStates.get(dependency.id()) == DependencyState.SKIPPED);
            if (skipped) {
                node.state = JobState.SKIPPED;
                changed.add(node);
                resolveDependencies(node, dependency -> DependencyState.SKIPPED, open);
            } else if (node.unsatisfiedCount == 0) {
                node.state = JobState.READY;
                changed.add(node);
            }
        }
        return changed;
    }

    private void resolveDependencies(Node node, Outcome outcome, Deque<Node> open) {
        for (Dependency dependency : node.dependents.values()) {
            if (dependencyStates.get(dependency.id()) != DependencyState.PENDING) {
                continue;
            }
            DependencyState state = outcome.of(dependency);
            dependencyStates.put(dependency.id(), state);
            Node to = nodes.get(dependency.downstream());
            if (state == DependencyState.SATISFIED) {
                to.unsatisfiedCount--;
                if (to.unsatisfiedCount > 0) {
                    continue;
                }
            }
            open.add(to);
        }
    }

    private static List<String> inTopologicalOrder(Collection<Node> some) {
        return some.stream()
                .sorted(Comparator.comparingLong(node -> node.position))
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
