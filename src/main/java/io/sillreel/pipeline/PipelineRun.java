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
 * State machine of the jobs of a pipeline (ADR 0006). Each dependency is resolved once; a job is ready once all of its
 * dependencies are satisfied, and skipped once one of them can no longer be satisfied. A cancelled pipeline releases no
 * further jobs. Jobs are added after their dependencies and removed once they have ended; the cost of either is
 * proportional to the number of their dependencies and dependents.
 *
 * <p>Not thread-safe; a leader's term guards its run by the cluster lock.
 */
public final class PipelineRun {
    /** The state of a dependency; every state except {@code PENDING} is final. */
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
        /** Number of unsatisfied dependencies; kept as a counter to avoid iterating over all of them each time. */
        int unsatisfiedCount;
        /** True if the job is known only as a dependency of others and its result has to be looked up. */
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

    /** Creates a run with all jobs of the plan. */
    public PipelineRun(PipelinePlan plan) {
        plan.topologicalOrder().forEach(job -> add(job, plan.dependenciesOf(job)));
    }

    /**
     * Adds a job, whose dependencies have to be added before it, as they were admitted before it. An external job
     * becomes a regular one and keeps its position.
     *
     * @throws IllegalArgumentException if the upstream job of a dependency is not part of the pipeline
     */
    public void add(String job, Collection<Dependency> dependencies) {
        addExternal(job);
        Node node = nodes.get(job);
        node.isExternal = false;
        for (Dependency dependency : dependencies) {
            Node upstream = nodes.get(dependency.upstream());
            if (upstream == null) {
                throw new IllegalArgumentException(
                        "dependency " + dependency.id() + " refers to an unknown upstream job");
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

    /** Adds an external job: others depend on it, it is not active in this run, and its result has to be looked up. */
    public void addExternal(String job) {
        nodes.computeIfAbsent(job, name -> {
            Node node = new Node(name);
            node.isExternal = true;
            node.position = nextPosition++;
            return node;
        });
    }

    /** True if the job is part of the pipeline, whether external or not. */
    public boolean contains(String job) {
        return nodes.containsKey(job);
    }

    /** True if the job is known only as a dependency of others. */
    public boolean isExternal(String job) {
        return nodes.containsKey(job) && nodes.get(job).isExternal;
    }

    /** Returns the jobs that may be released now, in topological order. */
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
     * Ends a released job and resolves the dependencies of other jobs on it.
     *
     * @return jobs that become ready as a result, in topological order
     * @throws IllegalStateException if the job is not released
     */
    public List<String> complete(String job, boolean succeeded) {
        return endJob(requireState(job, JobState.RELEASED), succeeded);
    }

    /**
     * Ends an external job; does nothing if the job is not external or has already ended.
     *
     * @return jobs that become ready as a result, in topological order
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
     * Cancels one job unless it has already ended, and skips the jobs that depend on it.
     *
     * @return the direct and transitive dependents that are skipped, in topological order
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

    /** Cancels the pipeline: no further job is released, but jobs already released still run to their end. */
    public void cancel() {
        isCancelled = true;
        for (Node node : List.copyOf(nodes.values())) {
            if (node.state == JobState.WAITING || node.state == JobState.READY) {
                node.state = JobState.CANCELLED;
                resolveDependents(node, dependency -> DependencyState.SKIPPED);
            }
        }
    }

    /** Removes a job that has ended, together with its dependencies and those of other jobs on it. */
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

    /** Returns the state of a job; empty if the job is not part of the pipeline. */
    public Optional<JobState> state(String job) {
        return Optional.ofNullable(nodes.get(job)).map(node -> node.state);
    }

    /** True if the job is part of the pipeline and in the given state. */
    public boolean isInState(String job, JobState state) {
        Node node = nodes.get(job);
        return node != null && node.state == state;
    }

    /** Returns the state of a dependency; empty if the dependency is not part of the pipeline. */
    public Optional<DependencyState> dependencyState(String id) {
        return Optional.ofNullable(dependencyStates.get(id));
    }

    /** Returns the jobs on which the given one depends directly. */
    public List<String> upstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependencies.values().stream().map(Dependency::upstream).toList();
    }

    /** Returns the jobs that depend directly on the given one. */
    public List<String> downstreamJobs(String job) {
        Node node = nodes.get(job);
        return node == null
                ? List.of()
                : node.dependents.values().stream().map(Dependency::downstream).toList();
    }

    /** True once all jobs have ended. */
    public boolean isFinished() {
        return nodes.values().stream()
                .noneMatch(node -> node.state == JobState.WAITING
                        || node.state == JobState.READY
                        || node.state == JobState.RELEASED);
    }

    /** True if a job failed and no other job depends on its failure. */
    public boolean hasUnhandledFailure() {
        return nodes.values().stream()
                .anyMatch(node -> node.state == JobState.FAILED
                        && node.dependents.values().stream()
                                .noneMatch(dependency -> dependency.condition() == Condition.ON_FAILURE));
    }

    /** Determines the state of a dependency when its upstream job ends. */
    private interface DependencyResolver {
        DependencyState resolve(Dependency dependency);
    }

    /**
     * Resolves the dependencies of other jobs on a job that ended, and on jobs that are skipped as a result. Iterates
     * over a work list, since recursion along a long chain would overflow the stack.
     *
     * @return jobs that became ready or were skipped
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

    /** Resolves the dependencies on one job and adds the jobs whose state may change to the work list. */
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
                    "job " + job + " is in state " + (node == null ? null : node.state) + ", expected " + state);
        }
        return node;
    }
}
