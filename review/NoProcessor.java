package review2;

/** A running job that takes memory but no processors loses its machine, the only one that is left. */
final class NoProcessor {
    private NoProcessor() {}

    public static void main(String[] args) {
        Stage.main(args, (record, trouble) -> {
            try (Stage stage = new Stage(record, Stage.Site.voces())) {
                return run(stage, trouble);
            }
        });
    }

    private static int run(Stage stage, boolean trouble) throws Exception {
        Judge judge = stage.judge;
        stage.startAll();
        // VCPUS=1 shows that the loss of the machine alone does no harm.
        double vcpus = Double.parseDouble(System.getenv().getOrDefault("VCPUS", "0"));
        Judge.Job first = Judge.Job.simple("job-000001", stage.site.teams.get(0), 1, 2, 3);
        stage.submit(first, 0);
        if (!stage.await(30, () -> judge.hasStarted(first.uid()))) {
            throw new Stage.CannotRun("the first job did not run");
        }
        Judge.Job light = Judge.Job.simple("job-000002", stage.site.teams.get(1), 1, vcpus, 20);
        boolean accepted = stage.submit(light, 1);
        if (!accepted || !stage.await(20, () -> judge.hasStarted(light.uid()))) {
            throw new Stage.CannotRun("the job without processors was not accepted or did not start");
        }
        stage.await(5, () -> false);
        if (trouble) {
            for (MachineStandIn machine : stage.cloud.machines()) {
                if (machine.liveTasks() > 0) {
                    judge.note("the cloud takes " + machine.name + " back, a spot machine: " + machine.isSpot);
                    stage.cloud.takeAway(machine);
                }
            }
        }
        boolean done = stage.await(Stage.WAIT_SECONDS, () -> judge.isDone(light.uid()));
        judge.note(light.uid() + " done: " + done + ", machines: " + stage.cloud.machines().size());
        stage.ask(0, "poll", light.uid());
        return !done || !judge.violations().isEmpty() ? Stage.BROKEN : Stage.HELD;
    }
}
