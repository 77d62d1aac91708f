package io.sillreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What operators ask a controller when the state service has lost writes. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description = "Asks a controller about writes that the state service has lost.")
final class RecoveryCommand {
    private static final int EXIT_FAILURE = 1;

    @Option(
            names = "--address",
            required = true,
            paramLabel = "HOST:PORT",
            description = "The internal address of a controller.")
    private String address;

    /** A question and its answer, printed as it is. */
    private int send(String path, JsonNode body) {
        String url = "http://" + address + path;
        try {
            JsonClient.Response response = body == null ? JsonClient.get(url) : JsonClient.post(url, body);
            if (response.isOk()) {
                System.out.println(response.body().toPrettyString());
                return 0;
            }
            System.err.println("sillreel: " + response.body().path("error").asText("status " + response.status()));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("sillreel: " + address + " can't be asked (" + e.getMessage() + ")");
        }
        return EXIT_FAILURE;
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Whether a loss is known, what showed it, and how far it has been made good.")
    int status() {
        return send("/recovery/status", null);
    }

    @Command(
            name = "accept-loss",
            mixinStandardHelpOptions = true,
            description = "Lets the service go on without the writes that no controller remembers. Ask the leader.")
    int acceptLoss() {
        return send("/recovery/accept-loss", Json.object());
    }
}
