import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/** A leader ends when the state service holds many cancelled jobs. Arguments: folder, repository. */
final class Case3 {
    private static final int CANCELLED_JOBS = 45_000;
    /** Seconds between two cancellations: 0.00763 a second by the rates and shares of the site file. */
    private static final double EARLIER_PAUSE_S = 1 / 0.00763;
    /** "back about 3 s after an end" */
    private static final int RESTART_MS = 3_000;
    private static final double MAX_WAIT_S = 90;

    private Case3() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, Case3::play);
    }

    private static boolean play(Path repository, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(Deployment.VOCES, repository);
        StateService state = deployment.stateService();
        state.listen(deployment.statePort);
        Fleet.Type type = new Fleet.Type("jaguar-small", 4, 16, 0.3, 0.08, 25, List.of("oaxaca-office"));
        Fleet fleet = deployment.fleet(List.of(type), 2, 1.5);
        fleet.listen(deployment.cloudPort);
        deployment.startAll();

        JsonNode first = Deployment.job("job-000001", "denoise", "equipo-archivo-0", 1, 2, 6.4, 20);
        fleet.upload(first, 0.5);
        deployment.submit(first);
        Case.require(isAt(deployment.awaitStage("job-000001", "done", 15), "done"), "the first job did not end");
        rememberCancelledJobs(deployment, fleet, state);

        if (trouble) {
            String leader = state.get("leader").value().path("node").asText();
            deployment.kill(leader);
            Thread.sleep(RESTART_MS);
            deployment.start(leader);
            deployment.awaitUp(20);
        }
        JsonNode job = Deployment.job("job-000003", "denoise", "equipo-archivo-1", 1, 2, 6.4, 20);
        fleet.upload(job, 1);
        Case.require(deployment.submit(job).status() == 201, "the job was not accepted");
        Web.Answer answer = deployment.awaitStage("job-000003", "done", MAX_WAIT_S);
        fleet.describe().forEach(line -> Journal.note("%s", line));
        StateService.Entry last = state.get("leader");
        Journal.note("the state service names as leader: %s", last == null ? "none" : last.value());
        for (String node : deployment.nodes()) {
            Journal.note("%s: process alive %s; log: %s", node, deployment.isAlive(node), deployment.logLines(node, "of term", "term "));
        }
        return !(isAt(answer, "queued") && fleet.machineCount() > 0);
    }

    private static boolean isAt(Web.Answer answer, String stage) {
        return answer.status() == 200 && answer.body().path("stage").asText().equals(stage);
    }

    /**
     * Puts into the state service what earlier weeks have left there: cancelled jobs, each with the records that the
     * service itself stored for one that was submitted and cancelled here. The running leader holds no more of such
     * jobs than their ids, since it removes them once they have no task left.
     */
    private static void rememberCancelledJobs(Deployment deployment, Fleet fleet, StateService state) throws Exception {
        JsonNode sample = Deployment.job("job-000002", "denoise", "equipo-archivo-0", 11, 2, 6.4, 20);
        fleet.upload(sample, 20);
        deployment.submit(sample);
        Case.require(isAt(deployment.withdraw("job-000002"), "withdrawn"), "the sample was not cancelled");
        JsonNode plan = state.get("plan/job-000002").value();
        JsonNode cancellation = state.get("withdraw/job-000002").value();
        for (int i = 0; i < CANCELLED_JOBS; i++) {
            String uid = String.format("job-%06d", 100_000 + i);
            state.load("plan/" + uid, Deployment.earlierPlan(plan, "job-000002", uid, 3_600 + EARLIER_PAUSE_S * (CANCELLED_JOBS - i)));
            state.load("withdraw/" + uid, cancellation);
        }
        Journal.note("the state service holds %d plans, %d of them cancelled", state.count("plan/"), state.count("withdraw/"));
        for (String uid : List.of("job-100000", String.format("job-%06d", 100_000 + CANCELLED_JOBS - 1))) {
            Web.Answer answer = deployment.poll("hopper-0", uid);
            Journal.note("user: poll of %s: %d %s", uid, answer.status(), answer.body());
            Case.require(isAt(answer, "withdrawn"), "an earlier job is not known as cancelled");
        }
    }
}
