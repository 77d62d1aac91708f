package review2;

/** The only machine of its kind that the cloud has fails what it starts for some seconds, and then works again. */
final class SickMachine {
    private static final String BUILD = "baobab-large";
    private static final String YARD = "thies-centre";
    private static final double SICK_SECONDS = 10;

    private SickMachine() {}

    public static void main(String[] args) {
        Stage.main(args, (record, trouble) -> {
            try (Stage stage = new Stage(record, Stage.Site.thies())) {
                return run(stage, trouble);
            }
        });
    }

    private static int run(Stage stage, boolean trouble) throws Exception {
        Judge judge = stage.judge;
        String team = stage.site.teams.get(0);
        stage.startAll();
        Judge.Job first = Judge.Job.simple("job-000001", team, 2, 1, 3).only(BUILD, YARD);
        stage.submit(first, 0);
        if (!stage.await(30, () -> judge.isDone(first.uid()))) {
            throw new Stage.CannotRun("the first job did not run");
        }
        sick(stage, trouble);
        double from = judge.seconds();
        Judge.Job next = Judge.Job.simple("job-000002", team, 2, 1, 3).only(BUILD, YARD);
        boolean accepted = stage.submit(next, 1);
        if (!accepted || !stage.await(20, () -> judge.hasStarted(next.uid()))) {
            throw new Stage.CannotRun("the second job was not accepted or not tried");
        }
        stage.await(SICK_SECONDS - (judge.seconds() - from), () -> false);
        sick(stage, false);
        boolean done = stage.await(Stage.WAIT_SECONDS, () -> judge.isDone(next.uid()));
        judge.note(next.uid() + " done: " + done + ", tasks started in all: " + judge.starts);
        stage.cloud.machines().forEach(machine ->
                judge.note(machine.name + " is up with " + machine.liveTasks() + " tasks, " + machine.build.sku()
                        + " in " + machine.zone));
        stage.ask(0, "poll", next.uid());
        return !done || !judge.violations().isEmpty() ? Stage.BROKEN : Stage.HELD;
    }

    private static void sick(Stage stage, boolean begins) {
        for (MachineStandIn machine : stage.cloud.machines()) {
            if (machine.build.sku().equals(BUILD) && machine.zone.equals(YARD)) {
                machine.sick = begins;
                stage.judge.note(machine.name + (begins ? " fails what it starts" : " is sound"));
            }
        }
    }
}
