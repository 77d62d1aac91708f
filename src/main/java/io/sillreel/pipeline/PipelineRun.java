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
 * The state of the jobs of a pipeline (ADR 0006). Each dependency is resolved once; a job is ready once all of its
 * dependencies are satisfied, and skipped once one of them can't be satisfied any more. A cancelled pipeline releases
 * nothing more. Jobs are added after those that they depend on and removed once they are over; the cost of either is
 * proportional to the number of their dependencies and dependents.
 *
 * <p>Not thread-safe; guarded by the lock of the cluster where a term uses it.
 */
public final class PipelineRun {
    /** The state of a dependency; it leaves {@code PENDING} once and then stays as it is. */
    public enum DependencyState {
        PENDING,
        SATISFIED,
        UNSATISFIED,
        SKIPPED
    }

    /** The state of a job within its pipeline. */
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
        /** The position in the topological order. */
        long position;
        /** Dependencies that are not satisfied; counted, so that they are looked at only when one is resolved. */
        int unsatisfiedCount;
        /** True if the job is only known as a dependency of others: its end is looked up, not brought about here. */
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

    /** Begins a run with all jobs of the plan. */
    public PipelineRun(PipelinePlan plan) {
        plan.topologicalOrder().forEach(job -> add(job, plan.dependenciesOf(job)));
    }

    /**
     * Adds a job after all jobs that it depends on, since those were admitted before it. A job that was external is
     * driven from now on and keeps its position.
     *
     * @throws IllegalArgumentException if a dependency names an upstream job that is not part of the pipeline
     */
    public void add(String job, Collection<Dependency> dependencies) {
        addExternal(job);
        Node node = nodes.get(job);
        node.isExternal = false;
        for (Dependency dependency : dependencies) {
            Node upstream = nodes.get(dependency.upstream());
            if (upstream == null) {
                throw new IllegalArgumentException(
                        "dependency " + dependency.id() + " names an upstream job that is not known");
            }
            node.dependencies.put(dependency.id(), dependency);
            upstream.dependents.put(dependency.id(), dependency);
            node.unsatisfiedCount++;
            dependencyStates.put(dependency.id(), DependencyState.PENDING);
        }
        if (node.unsatisfiedCount == 0 && node.state == JobState.WAITING) {
            node.state = isCancelled ? JobState.CANCELLED : JobState.READY;
        }
    }

    /** Adds a job on which others depend and that is not driven here, or not yet; its end has still to be looked up. */
    public void addExternal(String job) {
        nodes.computeIfAbsent(job, name -> {
            Node node = new Node(name);
            node.isExternal = true;
            node.position = nextPosition++;
            return node;
        });
    }

    /** True if the job is part of the pipeline, driven or external. */
    public boolean contains(String job) {
        return nodes.containsKey(job);
    }

    /** True if the job is only known as a dependency of others. */
    public boolean isExternal(String job) {
        return nodes.containsKey(job) && nodes.get(job).isExternal;
    }

    /** Jobs that may be released now, in topological order. */
    public List<String> readyJobs() {
        return inTopologicalOrder(nodes.values().stream()
                .filter(node -> node.state == JobState.READY)
                .toList());
    }

    /**
     * Marks a ready job as released.
     *
     * @throws IllegalStateException if the job is not ready
     */
    public void release(String job) {
        requireState(job, JobState.READY).state = JobState.RELEASED;
    }

    /**
     * Ends a released job, which resolves the dependencies of others on it for good.
     *
     * @return jobs that become ready by that, in topological order
     * @throws IllegalStateException if the job is not released
     */
    public List<String> complete(String job, boolean succeeded) {
        return endJob(requireState(job, JobState.RELEASED), succeeded);
    }

    /**
     * Ends an external job; does nothing if it has ended or is not external.
     *
     * @return jobs that become ready by that, in topological order
     */
    public List<String> completeExternal(String job, boolean succeeded) {
        Node node = nodes.get(job);
        return node == null || !node.isExternal || node.state != JobState.WAITING ? List.of() : endJob(node, succeeded);
    }

    private List<String> endJob(Node node, boolean succeeded) {
        node.state = isCancelled ? JobState.CANCELLED : succeeded ? JobState.SUCCEEDED : JobState.FAILED;
        Condition metCondition = succeeded ? Condition.ON_SUCCESS : Condition.ON_FAILURE;
        List<Node> changed = resolveDependents(
                node,
                dependency -> isCancelled
                        ? DependencyState.SKIPPED
                        : dependency.condition() == metCondition
                                ? DependencyState.SATISFIED
                                : DependencyState.UNSATISFIED);
        return inTopologicalOrder(
                changed.stream().filter(each -> each.state == JobState.READY).toList());
    }

    /**
     * Cancels one job in whatever state it is, unless it is over: nothing that depends on it is released any more.
     *
     * @return the jobs that are skipped by that, directly or through others, in topological order
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

    /** Cancels the pipeline: nothing is released from now on, and released jobs still end. */
    public void cancel() {
        isCancelled = true;
        for (Node node : List.copyOf(nodes.values())) {
            if (node.state == JobState.WAITING || node.state == JobState.READY) {
                node.state = JobState.CANCELLED;
                resolveDependents(node, dependency -> DependencyState.SKIPPED);
            }
        }
    }

    /** Removes a job that is over, and the dependencies on both sides. */
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

    /** Jobs that the given one depends on. */
    public List<String> upstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependencies.values().stream().map(Dependency::upstream).toList();
    }

    /** Jobs that depend on the given one. */
    public List<String> downstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependents.values().stream().map(Dependency::downstream).toList();
    }

    /** True once all jobs have ended. */
    public boolean isOver() {
        return nodes.values().stream()
                .noneMatch(node -> node.state == JobState.WAITING
                        || node.state == JobState.READY
                        || node.state == JobState.RELEASED);
    }

    /** True if a job failed and no other job depends on that failure. */
    public boolean hasUnhandledFailure() {
        return nodes.values().stream()
                .anyMatch(node -> node.state == JobState.FAILED
                        && node.dependents.values().stream()
                                .noneMatch(dependency -> dependency.condition() == Condition.ON_FAILURE));
    }

    /** The state that a dependency takes when its upstream job ends. */
    private interface DependencyResolver {
        DependencyState resolve(Dependency dependency);
    }

    /**
     * Resolves the dependencies of others on a job, and on those that are skipped by that. It iterates over a work
     * list, since recursion along a long chain would overflow the stack.
     *
     * @return jobs that have become ready or are skipped
     */
    private List<Node> resolveDependents(Node ended, DependencyResolver resolver) {
        List<Node> changed = new ArrayList<>();
        Deque<Node> workList = new ArrayDeque<>();
        resolveDirectDependents(ended, resolver, workList);
        while (!workList.isEmpty()) {
            Node node = workList.poll();
            if (isCancelled || node.state != JobState.WAITING) {
                continue;
            }
            boolean skipped = node.dependencies.values().stream()
                    .anyMatch(dependency -> dependencyStates.get(dependency.id()) == DependencyState.UNSATISFIED
                            || dependencyStates.get(dependency.id()) == DependencyState.SKIPPED);
            if (skipped) {
                node.state = JobState.SKIPPED;
                changed.add(node);
                resolveDirectDependents(node, dependency -> DependencyState.SKIPPED, workList);
            } else if (node.unsatisfiedCount == 0) {
                node.state = JobState.READY;
                changed.add(node);
            }
        }
        return changed;
    }

    /** Resolves the dependencies on one job and adds the jobs to look at to the work list. */
    private void resolveDirectDependents(Node node, DependencyResolver resolver, Deque<Node> workList) {
        for (Dependency dependency : node.dependents.values()) {
            if (dependencyStates.get(dependency.id()) != DependencyState.PENDING) {
                continue;
            }
            DependencyState state = resolver.resolve(dependency);
            dependencyStates.put(dependency.id(), state);
            Node downstream = nodes.get(dependency.downstream());
            if (state == DependencyState.SATISFIED) {
                downstream.unsatisfiedCount--;
                if (downstream.unsatisfiedCount > 0) {
                    continue;
                }
            }
            workList.add(downstream);
        }
    }

    private static List<String> inTopologicalOrder(Collection<Node> nodes) {
        return nodes.stream()
                .sorted(Comparator.comparingLong(node -> node.position))
                .map(node -> node.job)
                .toList();
    }

    private Node requireState(String job, JobState state) {
        Node node = nodes.get(job);
        if (node == null || node.state != state) {
            throw new IllegalStateException(
                    "job " + job + " is " + (node == null ? null : node.state) + ", not " + state);
        }
        return node;
    }
}
