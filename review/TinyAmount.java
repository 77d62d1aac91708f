package review2;

/** A job of one team is submitted with a mistake in an amount. Jobs of another team follow. */
final class TinyAmount {
    /** What 0.1 + 0.2 - 0.3 gives in binary numbers. */
    private static final double MISTAKEN_VCPUS = 0.1 + 0.2 - 0.3;

    private TinyAmount() {}

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
        Judge.Job first = Judge.Job.simple("job-000001", stage.site.teams.get(0), 4, 2, 3);
        stage.submit(first, 0);
        if (!stage.await(30, () -> judge.isDone(first.uid()))) {
            throw new Stage.CannotRun("the first job did not run");
        }
        Judge.Job mistaken = Judge.Job.simple(
                "job-000002", stage.site.teams.get(1), 1, trouble ? MISTAKEN_VCPUS : 1.0, 3);
        judge.note("vcpus of " + mistaken.uid() + ": " + mistaken.vcpus());
        boolean taken = stage.submit(mistaken, 1);
        judge.note(mistaken.uid() + (taken ? " was accepted" : " was refused"));
        stage.await(2, () -> false);
        Judge.Job next = Judge.Job.simple("job-000003", stage.site.teams.get(0), 4, 2, 3);
        boolean accepted = stage.submit(next, 2);
        boolean done = stage.await(Stage.WAIT_SECONDS, () -> judge.isDone(next.uid()));
        judge.note(next.uid() + " accepted: " + accepted + ", started: " + judge.hasStarted(next.uid())
                + ", done: " + done);
        stage.ask(0, "poll", next.uid());
        for (int node = 0; node < stage.site.nodes; node++) {
            stage.errors(node).stream().limit(4).forEach(judge::note);
        }
        if (!accepted) {
            throw new Stage.CannotRun("the third job was not accepted");
        }
        return !judge.hasStarted(next.uid()) || !judge.violations().isEmpty() ? Stage.BROKEN : Stage.HELD;
    }
}
