package review2;

/**
 * A job that was submitted with a mistake fails on the only machine of its kind that the cloud has, and its user cancels
 * it. A sound job that needs the same kind follows.
 */
final class LastingSuspicion {
    private static final String BUILD = "baobab-large";
    private static final String YARD = "thies-centre";

    private LastingSuspicion() {}

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
        if (trouble) {
            Judge.Job mistaken = Judge.Job.simple("job-000002", team, 1, 1, -10).only(BUILD, YARD);
            stage.submit(mistaken, 1);
            if (!stage.await(20, () -> judge.hasStarted(mistaken.uid()))) {
                throw new Stage.CannotRun("the mistaken job was not tried");
            }
            stage.await(3, () -> false);
            if (!stage.cancel(mistaken.uid(), 2)) {
                throw new Stage.CannotRun("the mistaken job was not cancelled");
            }
        }
        Judge.Job next = Judge.Job.simple("job-000003", team, 2, 1, 3).only(BUILD, YARD);
        boolean accepted = stage.submit(next, 0);
        double from = judge.seconds();
        boolean done = stage.await(Stage.WAIT_SECONDS, () -> judge.isDone(next.uid()));
        judge.note(next.uid() + " accepted: " + accepted + ", started: " + judge.hasStarted(next.uid()) + ", done: "
                + done + ", after " + Math.round(judge.seconds() - from) + " s");
        stage.cloud.machines().forEach(machine ->
                judge.note(machine.name + " is up with " + machine.liveTasks() + " tasks, " + machine.build.sku()
                        + " in " + machine.zone));
        if (!accepted) {
            throw new Stage.CannotRun("the sound job was not accepted");
        }
        return !judge.hasStarted(next.uid()) || !judge.violations().isEmpty() ? Stage.BROKEN : Stage.HELD;
    }
}
