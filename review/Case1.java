import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;

/** A malformed submission, and whether questions about an accepted job are answered after it. Arguments: folder, repository. */
final class Case1 {
    private static final int NESTING = 2_000;
    private static final double FORGOTTEN_AFTER_S = 75;

    private Case1() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, Case1::play);
    }

    private static boolean play(Path repository, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(Deployment.THIES, repository);
        StateService state = deployment.stateService();
        state.listen(deployment.statePort);
        Fleet.Type type = new Fleet.Type("baobab-small", 4, 16, 0.21, 0.09, 35, List.of("thies-centre"));
        Fleet fleet = deployment.fleet(List.of(type), 2, 1.5);
        fleet.listen(deployment.cloudPort);
        deployment.startAll();

        JsonNode job = Deployment.job("job-000412", "kyc-audit", "equipe-activation", 1, 4, 6.7, 80);
        fleet.upload(job, 300);
        Case.require(deployment.submit(job).status() == 201, "the job was not accepted");
        deployment.awaitStage("job-000412", "running", 15);
        // Some minutes of ordinary questions in a few seconds, so that no node is one that has just started.
        for (int i = 0; i < 60; i++) {
            for (String node : deployment.nodes()) {
                deployment.poll(node, "job-000412");
            }
            Thread.sleep(10);
        }
        for (String node : deployment.nodes()) {
            Case.require(deployment.poll(node, "job-000412").status() == 200, node + " did not answer before the trouble");
        }
        Journal.note("all nodes have answered questions about job-000412");
        if (trouble) {
            sendMalformed(deployment);
        }
        return !isForgotten(deployment);
    }

    /** A user whose client writes a body that is no object; without an answer it is sent again to the next node. */
    private static void sendMalformed(Deployment deployment) throws InterruptedException {
        byte[] body = ("[".repeat(NESTING) + "]".repeat(NESTING)).getBytes(StandardCharsets.UTF_8);
        int unanswered = 0;
        for (int request = 0; request < 9 && unanswered < deployment.nodes().size(); request++) {
            String node = deployment.nodes().get(request % deployment.nodes().size());
            Web.Answer answer = Web.callRaw(deployment.publicAddresses.get(node), "POST", "/v2/runs", body, 5_000);
            Journal.note("user: malformed submission of %d bytes at %s: %d %s", body.length, node, answer.status(), answer.body());
            unanswered += answer.status() == 0 ? 1 : 0;
            Thread.sleep(1_000);
        }
    }

    /** Asks all nodes at once, every three seconds, until one answers; forgotten if none does for 75 s. */
    private static boolean isForgotten(Deployment deployment) throws Exception {
        double since = Journal.seconds();
        int asked = 0;
        while (Journal.seconds() - since < FORGOTTEN_AFTER_S) {
            Map<String, Future<Web.Answer>> polls = new LinkedHashMap<>();
            for (String node : deployment.nodes()) {
                polls.put(node, Web.THREADS.submit(() -> deployment.poll(node, "job-000412")));
                asked++;
            }
            for (Map.Entry<String, Future<Web.Answer>> poll : polls.entrySet()) {
                Web.Answer answer = poll.getValue().get();
                if (answer.status() == 200 || answer.status() == 404) {
                    Journal.note("user: poll of job-000412 at %s: %d %s", poll.getKey(), answer.status(), answer.body());
                    return answer.status() == 404;
                }
            }
            Journal.note("%d polls of job-000412 without an answer; health checks: %s", asked, health(deployment));
            Thread.sleep(1_000);
        }
        Journal.note("no question about job-000412 was answered for %.0f s, of %d", Journal.seconds() - since, asked);
        for (String node : deployment.nodes()) {
            Journal.note("%s: process alive %s", node, deployment.isAlive(node));
        }
        return true;
    }

    private static String health(Deployment deployment) {
        StringBuilder text = new StringBuilder();
        for (String node : deployment.nodes()) {
            text.append(' ').append(Web.call(deployment.publicAddresses.get(node), "GET", "/up", null, 1_000).status());
        }
        return text.toString().trim();
    }
}
