package review2;

import java.util.List;

/**
 * All controllers end and come back after a long time in which users have cancelled jobs now and then. What is stored of
 * each cancelled job is a copy of what the controllers have stored of the one that is cancelled here.
 */
final class PastJobs {
    private static final int CANCELLED_JOBS = 40_000;
    private static final long BACK_MILLIS = 3_000;

    private PastJobs() {}

    public static void main(String[] args) {
        Stage.main(args, (record, trouble) -> {
            try (Stage stage = new Stage(record, Stage.Site.voces())) {
                return run(stage, trouble);
            }
        });
    }

    private static int run(Stage stage, boolean trouble) throws Exception {
        Judge judge = stage.judge;
        String team = stage.site.teams.get(0);
        stage.startAll();
        Judge.Job model = Judge.Job.simple("job-000001", team, 2, 1, 60);
        stage.submit(model, 0);
        if (!stage.await(30, () -> judge.hasStarted(model.uid())) || !stage.cancel(model.uid(), 1)) {
            throw new Stage.CannotRun("the first job did not run or was not cancelled");
        }
        stage.await(3, () -> false);
        for (String prefix : List.of("plan/", "run/", "withdraw/")) {
            String value = stage.state.value(prefix + model.uid()).toString();
            for (int number = 0; number < CANCELLED_JOBS; number++) {
                String uid = "job-" + (100_000 + number);
                stage.state.putPast(prefix + uid, Wire.parse(value.replace(model.uid(), uid).getBytes()));
            }
            judge.note("added " + CANCELLED_JOBS + " keys like " + prefix + model.uid() + " " + value);
        }
        if (trouble) {
            for (int node = 0; node < stage.site.nodes; node++) {
                stage.kill(node);
            }
            stage.await(BACK_MILLIS / 1e3, () -> false);
            for (int node = 0; node < stage.site.nodes; node++) {
                stage.start(node);
            }
        }
        Judge.Job next = Judge.Job.simple("job-000002", team, 2, 1, 2);
        boolean accepted = stage.submit(next, 0);
        long[] endedMillis = new long[stage.site.nodes];
        int[] ends = {0};
        boolean done = stage.await(Stage.WAIT_SECONDS, () -> {
            startAgain(stage, endedMillis, ends);
            return judge.isDone(next.uid());
        });
        judge.note("accepted: " + accepted + ", done: " + done + ", ends of controllers by themselves: " + ends[0]);
        for (int node = 0; node < stage.site.nodes; node++) {
            stage.errors(node).stream().limit(4).forEach(judge::note);
        }
        if (!accepted) {
            throw new Stage.CannotRun("the second job was not accepted");
        }
        return ends[0] > 0 && !done || !judge.violations().isEmpty() ? Stage.BROKEN : Stage.HELD;
    }

    /** Starts a controller that has ended by itself again, after the time that the brief names. */
    private static void startAgain(Stage stage, long[] endedMillis, int[] ends) {
        for (int node = 0; node < stage.site.nodes; node++) {
            long now = System.nanoTime() / 1_000_000;
            if (stage.isAlive(node)) {
                endedMillis[node] = 0;
            } else if (endedMillis[node] == 0) {
                endedMillis[node] = now;
                ends[0]++;
                stage.judge.note("hopper-" + node + " has ended by itself");
            } else if (now - endedMillis[node] > BACK_MILLIS) {
                try {
                    stage.start(node);
                } catch (java.io.IOException e) {
                    throw new Stage.CannotRun("a controller could not be started: " + e.getMessage());
                }
            }
        }
    }
}
