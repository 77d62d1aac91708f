package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.TestMachines;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.Checkpointing;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.NoOpJobListener;
import io.sillreel.pipeline.PlacementRequirements;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.pipeline.TaskSpec;
import io.sillreel.pipeline.Urgency;
import io.sillreel.settings.Settings.Team;
import io.sillreel.settings.ValueLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PlannerTest {
    private static final long SECOND = 1_000_000;
    private static final PlacementRequirements ANYWHERE = new PlacementRequirements(null, null, false, false, true);
    private static final TaskSpec TASK_WITHOUT_CPUS =
            new TaskSpec(0, 0, 0.01, "img", 1, 20 * SECOND, new Checkpointing(0, 0));

    private final Cluster cluster = new Cluster(Map.of(
            "s", new Team("s", 8, 100, 0, 0), "t", new Team("t", 8, 100, 0, 0), "free", new Team("free", 0, 0, 0, 0)));
    private final List<String> reportedErrors = new ArrayList<>();
    private final PlanningErrors errors = new PlanningErrors((work, error) -> reportedErrors.add(work));
    private final Planner planner =
            new Planner(cluster, SECOND, new ServiceLevelObjectives(List.of(), new RuntimeEstimator()), errors);
    private long nowMicros = 1_000 * SECOND;
    private long lastAttempt;
    private int jobCount;

    private Machine machine(int number) {
        return machine(number, true);
    }

    private Machine machine(int number, boolean isSpot) {
        return machine(number, isSpot, "a");
    }

    private Machine machine(int number, boolean isSpot, String zone) {
        return TestMachines.addUpMachine(cluster, "host-%06d".formatted(number), zone, isSpot, nowMicros);
    }

    private ActiveJob job(
            String team, PriorityClass priorityClass, int tasks, double cpus, long ageMicros, boolean hasCheckpoints) {
        Checkpointing checkpointing = new Checkpointing(hasCheckpoints ? 5 * SECOND : 0, SECOND);
        TaskSpec task = new TaskSpec(cpus, 0, 1, "img", 1, 20 * SECOND, checkpointing);
        return job(team, priorityClass, tasks, ageMicros, task, ANYWHERE);
    }

    private ActiveJob job(
            String team,
            PriorityClass priorityClass,
            int tasks,
            long ageMicros,
            TaskSpec task,
            PlacementRequirements placement) {
        JobSpec spec = new JobSpec(
                "job-%06d".formatted(++jobCount),
                "l",
                team,
                new Urgency(priorityClass, -1),
                tasks,
                task,
                placement,
                List.of());
        ActiveJob job =
                new ActiveJob(spec, jobCount, nowMicros - ageMicros, ValueLimits.fixed(8_192), new NoOpJobListener());
        job.recordWrite().onStored(1);
        cluster.add(job);
        return job;
    }

    private void startTasks(ActiveJob job, Machine machine, int tasks) {
        for (int i = 0; i < tasks; i++) {
            Allocation allocation = Allocation.launched(job, job.nextWaitingTask(), ++lastAttempt, 0);
            machine.add(allocation);
            allocation.updateStage(TaskStage.RUNNING, nowMicros);
        }
    }

    private PlacementPlan plan() {
        return planner.plan(nowMicros, nowMicros);
    }

    /** Returns the steps to backfill a machine whose heartbeat reports free capacity, in an otherwise full fleet. */
    private long heartbeatSteps(int machines, int waitingJobs) {
        ActiveJob running = job("free", PriorityClass.NORMAL, 4 * machines, 1, 0, false);
        for (int i = 0; i < machines; i++) {
            startTasks(running, machine(i), 4);
        }
        for (int i = 0; i < waitingJobs; i++) {
            job("free", PriorityClass.NORMAL, 10, 1, 0, false);
        }
        PlacementPlan plan = plan();
        Machine machine = cluster.machine("host-000001");
        Allocation ended = machine.allocations().iterator().next();
        ended.updateStage(TaskStage.ENDED, nowMicros);
        ended.release();
        long before = cluster.stepCount();
        assertThat(planner.backfillMachine(plan, machine, nowMicros, nowMicros)).hasSize(1);
        return cluster.stepCount() - before;
    }

    /** Guards against planning for the whole fleet on each heartbeat. */
    @Test
    void heartbeatCostIsIndependentOfMachineAndJobCount() {
        long small = new PlannerTest().heartbeatSteps(10, 100);
        long large = new PlannerTest().heartbeatSteps(1_000, 1_000);
        assertThat(large).isLessThanOrEqualTo(small).isLessThanOrEqualTo(200);
    }

    /** Returns the steps to plan the waiting jobs in an idle fleet, without one step for each machine. */
    private long planSteps(int machines, int waitingJobs) {
        for (int i = 0; i < machines; i++) {
            machine(i, i % 3 > 0);
        }
        for (int i = 0; i < waitingJobs; i++) {
            job("free", PriorityClass.values()[i % 4], 8, 1, 0, i % 2 == 0);
        }
        assertThat(plan().unplaced()).isEmpty();
        return cluster.stepCount() - machines;
    }

    /** Guards large fleets: examining every idle machine for every job made a plan take seconds. */
    @Test
    void planCostDoesNotGrowWithMachinesTimesJobs() {
        long small = new PlannerTest().planSteps(1_000, 200);
        long large = new PlannerTest().planSteps(4_000, 200);
        assertThat(large).isLessThanOrEqualTo(small + 100).isLessThan(10_000);
    }

    @Test
    void preemptsCheckpointedExcessTasksFirstForGuaranteedWork() {
        ActiveJob withoutCheckpoints = job("s", PriorityClass.NORMAL, 8, 1, 60 * SECOND, false);
        ActiveJob withCheckpoints = job("s", PriorityClass.NORMAL, 4, 1, 60 * SECOND, true);
        Machine one = machine(1);
        Machine two = machine(2);
        Machine three = machine(3);
        startTasks(withoutCheckpoints, one, 4);
        startTasks(withoutCheckpoints, two, 4);
        startTasks(withCheckpoints, three, 4);
        job("t", PriorityClass.BEST_EFFORT, 2, 1, 4 * SECOND, false);
        assertThat(plan().preemptions()).as("the guarantee is not at risk yet").isEmpty();
        nowMicros += 2 * SECOND;
        assertThat(plan().preemptions()).hasSize(2).allMatch(allocation -> allocation.job() == withCheckpoints);
    }

    /** Guards against jobs that preempt each other in turn: the preempting job must precede the preempted one. */
    @Test
    void preemptedJobDoesNotReclaimCapacity() {
        ActiveJob guaranteed = job("t", PriorityClass.BEST_EFFORT, 4, 1, 30 * SECOND, false);
        Machine one = machine(1);
        startTasks(guaranteed, one, 4);
        ActiveJob high = job("s", PriorityClass.HIGH, 4, 1, 0, false);
        assertThat(plan().preemptions()).hasSize(4);
        List.copyOf(one.allocations()).forEach(allocation -> {
            allocation.updateStage(TaskStage.ENDED, nowMicros);
            allocation.release();
        });
        assertThat(plan().launches().get("host-000001")).containsExactly(new TaskAssignment(high, 4));
    }

    /** Guards guarantees: tasks within a team's guarantee are not preempted, however long other teams wait. */
    @Test
    void doesNotPreemptTasksWithinGuaranteeForOtherTeam() {
        ActiveJob within = job("s", PriorityClass.NORMAL, 8, 1, 60 * SECOND, true);
        startTasks(within, machine(1), 4);
        startTasks(within, machine(2), 4);
        job("t", PriorityClass.NORMAL, 2, 1, 60 * SECOND, false);
        assertThat(plan().preemptions()).isEmpty();
    }

    /** Guards the jobs of all teams against an error that occurs for one job: it ended every plan. */
    @Test
    void errorInPlanningOneJobLeavesOutOnlyThatJob() {
        ActiveJob withoutPlacement = job("s", PriorityClass.HIGH, 2, 0, TASK_WITHOUT_CPUS, null);
        ActiveJob sound = job("t", PriorityClass.NORMAL, 2, 1, 0, false);
        Machine one = machine(1);
        assertThat(plan().launches().get(one.name())).containsExactly(new TaskAssignment(sound, 2));
        assertThat(plan().launches().get(one.name())).containsExactly(new TaskAssignment(sound, 2));
        assertThat(reportedErrors)
                .as("it is reported with its id, and not for each plan")
                .containsExactly("the planning of job " + withoutPlacement.uid());
        nowMicros += PlanningErrors.RETRY_DELAY_MICROS;
        machine(2);
        plan();
        assertThat(reportedErrors).as("it is tried again after a while").hasSize(2);
    }

    /** Guards jobs without CPUs: each plan put their tasks on a machine that could not have any more of them. */
    @Test
    void placesTasksWithoutCpusOnMachineWithFreeTaskSlots() {
        ActiveJob running = job("free", PriorityClass.NORMAL, Machine.MAX_TASKS, 0, TASK_WITHOUT_CPUS, ANYWHERE);
        Machine full = machine(1);
        startTasks(running, full, Machine.MAX_TASKS);
        Machine free = machine(2);
        ActiveJob waiting = job("free", PriorityClass.NORMAL, Machine.MAX_TASKS + 20, 0, TASK_WITHOUT_CPUS, ANYWHERE);
        Map<String, List<TaskAssignment>> launches = plan().launches();
        assertThat(launches.get(free.name())).containsExactly(new TaskAssignment(waiting, Machine.MAX_TASKS));
        assertThat(launches).doesNotContainKey(full.name());
    }

    /**
     * Guards the other zones of a job that is bound to the zone of its running tasks: machines there stayed reserved.
     */
    @Test
    void reservesNoMachineInZoneThatJobMayNotUse() {
        ActiveJob job = jobInOneZone(PriorityClass.NORMAL, 400 * SECOND);
        startTasks(job, machine(1, true, "a"), 4);
        Machine elsewhere = machine(2, true, "b");
        assertThat(plan().reservations()).doesNotContainKey(elsewhere.name());
        ActiveJob other = job("free", PriorityClass.BEST_EFFORT, 4, 1, 0, false);
        assertThat(plan().launches().get(elsewhere.name())).containsExactly(new TaskAssignment(other, 4));
    }

    /** Guards the tasks in other zones: they were stopped, again and again, for a job that may not start there. */
    @Test
    void preemptsNoTaskInZoneThatJobMayNotUse() {
        ActiveJob job = jobInOneZone(PriorityClass.HIGH, 0);
        startTasks(job, machine(1, true, "a"), 4);
        startTasks(job("free", PriorityClass.BEST_EFFORT, 4, 1, 0, false), machine(2, true, "b"), 4);
        assertThat(plan().preemptions()).isEmpty();
    }

    private ActiveJob jobInOneZone(PriorityClass priorityClass, long ageMicros) {
        TaskSpec task = new TaskSpec(1, 0, 1, "img", 1, 20 * SECOND, new Checkpointing(0, 0));
        return job("t", priorityClass, 8, ageMicros, task, new PlacementRequirements(null, null, true, false, true));
    }

    /** Guards a job that has failed: other machines come first, and if there is none, its failure is repeated. */
    @Test
    void triesFailedJobOnTheSameMachineOnlyIfThereIsNoOther() {
        ActiveJob job = job("t", PriorityClass.NORMAL, 3, 1, 0, false);
        Machine failed = machine(1);
        job.failures().add(failed.name(), nowMicros);
        assertThat(plan().launches()).as("excluded").isEmpty();
        job.failures().allowRetry(failed.name());
        assertThat(plan().launches().get(failed.name())).containsExactly(new TaskAssignment(job, 1));
        Machine other = machine(2);
        assertThat(plan().launches()).containsOnlyKeys(other.name());
        job.failures().attributeToJob();
        assertThat(plan().launches()).containsOnlyKeys(other.name());
    }

    /** Guards a job that a machine has refused: its task was launched there again and again, beside a free machine. */
    @Test
    void prefersMachineThatHasNotRefusedTheJob() {
        ActiveJob job = job("t", PriorityClass.NORMAL, 1, 1, 0, false);
        Machine refusing = machine(1);
        job.failures().addRefusal(refusing.name());
        assertThat(plan().launches()).containsOnlyKeys(refusing.name());
        Machine other = machine(2);
        assertThat(plan().launches()).containsOnlyKeys(other.name());
    }

    /** Guards a job that has failed, whose only machine has ignored a command: each waited for the other's probe. */
    @Test
    void probesMachineThatIgnoredCommandWithJobThatHasFailed() {
        ActiveJob job = job("t", PriorityClass.NORMAL, 3, 1, 0, false);
        Machine machine = machine(1);
        job.failures().add("host-000002", nowMicros);
        machine.responsiveness().recordCommandIgnored(nowMicros);
        PlacementPlan plan = plan();
        assertThat(plan.launches()).isEmpty();
        assertThat(planner.backfillMachine(plan, machine, nowMicros, nowMicros))
                .containsExactly(new TaskAssignment(job, 1));
    }

    /** Guards against the starvation of a large task by small ones that take every CPU as it becomes free. */
    @Test
    void reservesMachineForAgedLargeTask() {
        ActiveJob large = job("free", PriorityClass.BEST_EFFORT, 1, 4, 130 * SECOND, false);
        ActiveJob small = job("free", PriorityClass.NORMAL, 20, 1, 0, false);
        Machine one = machine(1);
        startTasks(small, one, 4);
        PlacementPlan plan = plan();
        Allocation ended = one.allocations().iterator().next();
        ended.updateStage(TaskStage.ENDED, nowMicros);
        ended.release();
        assertThat(planner.backfillMachine(plan, one, nowMicros, nowMicros)).isEmpty();
        assertThat(plan().launches()).isEmpty();
        List.copyOf(one.allocations()).forEach(allocation -> {
            allocation.updateStage(TaskStage.ENDED, nowMicros);
            allocation.release();
        });
        assertThat(planner.backfillMachine(plan, one, nowMicros, nowMicros))
                .containsExactly(new TaskAssignment(large, 1));
    }

    @Test
    void servesHigherPriorityFirstUntilLowerPriorityJobIsAged() {
        ActiveJob low = job("free", PriorityClass.BEST_EFFORT, 1, 4, 60 * SECOND, false);
        ActiveJob high = job("free", PriorityClass.HIGH, 1, 4, 0, false);
        machine(1);
        assertThat(plan().launches().get("host-000001")).containsExactly(new TaskAssignment(high, 1));
        nowMicros += 61 * SECOND;
        cluster.machine("host-000001")
                .acceptHeartbeat(
                        new Heartbeat(
                                "host-000001", "", new MachineDescription("c4", "a", true), 1, 2, 1, -1, List.of()),
                        false,
                        nowMicros);
        assertThat(plan().launches().get("host-000001")).containsExactly(new TaskAssignment(low, 1));
    }

    /**
     * Guards against tasks without checkpoints on spot machines while tasks with checkpoints occupy on-demand machines.
     */
    @Test
    void placesCheckpointedTasksOnSpotMachinesAndOthersOnDemand() {
        Machine isSpot = machine(1, true);
        Machine onDemand = machine(2, false);
        ActiveJob withoutCheckpoints = job("free", PriorityClass.NORMAL, 4, 1, 0, false);
        ActiveJob withCheckpoints = job("free", PriorityClass.NORMAL, 4, 1, 0, true);
        Map<String, List<TaskAssignment>> launches = plan().launches();
        assertThat(launches.get(isSpot.name())).containsExactly(new TaskAssignment(withCheckpoints, 4));
        assertThat(launches.get(onDemand.name())).containsExactly(new TaskAssignment(withoutCheckpoints, 4));
    }
}
