package io.sillreel.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;

/** Creates job ids and submissions. */
public final class SimJobs {
    private SimJobs() {}

    /** Returns the id of a numbered job. */
    public static String uid(int number) {
        return "job-%06d".formatted(number);
    }

    /** Returns a valid submission. */
    static ObjectNode job(String uid, int taskCount) {
        ObjectNode job = Json.object()
                .put("uid", uid)
                .put("lot", "l")
                .put("crew", "t")
                .put("form", "sweep")
                .put("rank", "normal")
                .put("pieces", taskCount)
                .put("vcpus", 1.0)
                .put("cards", 0.0)
                .put("ram_gb", 1.0)
                .put("reel", "img")
                .put("image_gb", 1.0)
                .put("one_zone", false)
                .put("spread", false)
                .put("loaners", true)
                .put("guess_s", 3.0)
                .put("mark_every_s", 0.0)
                .put("stash_s", 0.0);
        return job.put("due_s", 12.0).putNull("builds").putNull("yard");
    }
}
