package io.sillreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Operator commands for recovery after the state service has lost writes. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description = "Shows and controls the recovery after the state service has lost writes.")
final class RecoveryCommand {
    private static final int EXIT_FAILURE = 1;

    @Option(
            names = "--address",
            required = true,
            paramLabel = "HOST:PORT",
            description = "The internal address of a controller.")
    private String address;

    /** Sends a request and prints the response body, or the error on standard error. */
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
            System.err.println("sillreel: request to " + address + " failed (" + e.getMessage() + ")");
        }
        return EXIT_FAILURE;
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Shows whether a loss of writes was detected, its evidence and the progress of the recovery.")
    int status() {
        return send("/recovery/status", null);
    }

    @Command(
            name = "accept-loss",
            mixinStandardHelpOptions = true,
            description = "Resumes service without the writes that no controller remembers. Send this to the leader.")
    int acceptLoss() {
        return send("/recovery/accept-loss", Json.object());
    }
}
