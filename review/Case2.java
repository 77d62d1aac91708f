import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;

/** A leader ends while users submit, and one answer of the state service is lost. Arguments: folder, repository. */
final class Case2 {
    private static final int EARLIER_JOBS = 12_000;
    /** 8.2 jobs a minute, as the site file's classes come. */
    private static final double EARLIER_PAUSE_S = 60 / 8.2;
    private static final int JOBS = 100;
    /** "back about 8 s after an end" */
    private static final double RESTART_S = 8;
    private static final double ASK_PAUSE_S = 0.05;
    /** Users ask again a little later than this after the answer was lost. */
    private static final double ASKED_AGAIN_S = 11.5;

    private Case2() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, Case2::play);
    }

    /** Loses the answer to the first watch of plans that begins after the leader's end; everything else is answered. */
    private static final class LostAnswer implements StateService.Trouble {
        private final ThreadLocal<Boolean> isLost = new ThreadLocal<>();
        private boolean armed;
        private volatile double lostAt = -1;

        synchronized void arm() {
            armed = true;
        }

        @Override
        public synchronized boolean before(String method, String path, Map<String, String> query) {
            if (armed && path.equals("/watch") && "plan/".equals(query.get("prefix"))) {
                armed = false;
                isLost.set(true);
            }
            return true;
        }

        @Override
        public boolean answer(String method, String path, Map<String, String> query, Web.Answer answer) {
            if (isLost.get() == null) {
                return true;
            }
            isLost.remove();
            lostAt = Journal.seconds();
            Journal.note("state service: the answer to %s %s is lost; it had %d changes", path, query, answer.body().path("news").size());
            return false;
        }
    }

    private static boolean play(Path repository, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(Deployment.THIES, repository);
        StateService state = deployment.stateService();
        LostAnswer lostAnswer = new LostAnswer();
        state.trouble = lostAnswer;
        state.listen(deployment.statePort);
        Fleet.Type type = new Fleet.Type("baobab-large", 32, 64, 1.54, 0.65, 25, List.of("thies-centre"));
        Fleet fleet = deployment.fleet(List.of(type), 2, 1.5);
        fleet.listen(deployment.cloudPort);
        deployment.startAll();
        JsonNode first = Deployment.job("job-000001", "msisdn-bind", "equipe-activation", 1, 1, 1.7, 25);
        fleet.upload(first, 0.5);
        deployment.submit(first);
        Case.require(deployment.awaitStage("job-000001", "done", 15).status() == 200, "the first job did not end");
        rememberDoneJobs(state);

        String leader = state.get("leader").value().path("node").asText();
        List<String> others = deployment.nodes().stream().filter(node -> !node.equals(leader)).toList();
        double killedAt = Journal.seconds();
        if (trouble) {
            lostAnswer.arm();
            deployment.kill(leader);
        }
        List<String> accepted = submitJobs(deployment, fleet, others.get(0), killedAt);
        if (trouble) {
            Case.require(lostAnswer.lostAt >= 0, "no watch of plans began after the leader's end");
            Thread.sleep((long) Math.max(0, 1_000 * (killedAt + RESTART_S - Journal.seconds())));
            deployment.start(leader);
        }
        Map<String, Double> doneAt = awaitDone(deployment, others.get(0), accepted, lostAnswer, trouble);
        return askAgain(deployment, List.of(others.get(1), leader), doneAt, lostAnswer.lostAt);
    }

    /** Puts into the state service what earlier days have left there: jobs that are done, as the service stored one. */
    private static void rememberDoneJobs(StateService state) throws Exception {
        JsonNode plan = state.get("plan/job-000001").value();
        JsonNode run = state.get("run/job-000001").value();
        for (int i = 0; i < EARLIER_JOBS; i++) {
            String uid = String.format("job-%06d", 100_000 + i);
            state.load("plan/" + uid, Deployment.earlierPlan(plan, "job-000001", uid, 3_600 + EARLIER_PAUSE_S * (EARLIER_JOBS - i)));
            state.load("run/" + uid, run);
        }
        Journal.note("the state service holds %d plans of done jobs", state.count("plan/"));
    }

    /** Submits jobs of one short task at one node, some sixteen a second for six seconds. */
    private static List<String> submitJobs(Deployment deployment, Fleet fleet, String node, double begin) throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String uid = String.format("job-%06d", 900_000 + i);
            JsonNode job = Deployment.job(uid, "msisdn-bind", "equipe-activation", 1, 0.5, 0.4, 25);
            fleet.upload(job, 0.5);
            Web.Answer answer = Web.call(deployment.publicAddresses.get(node), "POST", "/v2/runs", job, 5_000);
            Journal.note("user: submission of %s at %s: %d %s", uid, node, answer.status(), answer.body());
            if (answer.status() == 201) {
                accepted.add(uid);
            }
            Thread.sleep((long) Math.max(0, 1_000 * (begin + 0.06 * (i + 1) - Journal.seconds())));
        }
        return accepted;
    }

    /** Polls all jobs until they are done, or until the lost answer could be asked for again. */
    private static Map<String, Double> awaitDone(
            Deployment deployment, String node, List<String> uids, LostAnswer lostAnswer, boolean trouble) throws Exception {
        Map<String, Double> doneAt = new LinkedHashMap<>();
        while (doneAt.size() < uids.size()) {
            double end = trouble ? lostAnswer.lostAt + ASKED_AGAIN_S : 40;
            if (Journal.seconds() > end) {
                break;
            }
            for (String uid : uids) {
                if (!doneAt.containsKey(uid) && isDone(deployment.poll(node, uid))) {
                    doneAt.put(uid, Journal.seconds());
                    Journal.note("user: %s is done, says %s", uid, node);
                }
            }
            Thread.sleep(500);
        }
        Case.require(!doneAt.isEmpty(), "no job was done");
        Journal.note("%d of %d jobs are done", doneAt.size(), uids.size());
        return doneAt;
    }

    /**
     * Asks the two other nodes for the done jobs, the latest first, each node once for each job; true if neither says
     * anything older than done. The second node is asked a second later, since users ask at any time.
     */
    private static boolean askAgain(Deployment deployment, List<String> nodes, Map<String, Double> doneAt, double lostAt)
            throws Exception {
        double begin = lostAt < 0 ? Journal.seconds() : lostAt + ASKED_AGAIN_S + 1.4;
        List<String> latestFirst = new ArrayList<>(doneAt.keySet());
        Collections.reverse(latestFirst);
        Future<Boolean> second = Web.THREADS.submit(() -> askOnce(deployment, nodes.get(1), latestFirst, doneAt, begin + 1));
        boolean held = askOnce(deployment, nodes.get(0), latestFirst, doneAt, begin);
        return second.get() && held;
    }

    private static boolean askOnce(
            Deployment deployment, String node, List<String> uids, Map<String, Double> doneAt, double begin) throws Exception {
        boolean held = true;
        for (int i = 0; i < uids.size(); i++) {
            Thread.sleep((long) Math.max(0, 1_000 * (begin + ASK_PAUSE_S * i - Journal.seconds())));
            String uid = uids.get(i);
            Web.Answer answer = deployment.poll(node, uid);
            Journal.note("user: poll of %s at %s: %d %s", uid, node, answer.status(), answer.body());
            if (answer.status() == 404 || answer.status() == 200 && !isDone(answer)) {
                Journal.note("%s was called done at %.3f, and is called something else now", uid, doneAt.get(uid));
                held = false;
            }
        }
        return held;
    }

    private static boolean isDone(Web.Answer answer) {
        return answer.status() == 200 && answer.body().path("stage").asText().equals("done");
    }
}
