package io.sillreel.admission;

import java.util.Optional;

/** A submission that is malformed. The message names the field and what is wrong, in words for the user. */
final class MalformedSubmissionException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String uid;

    /** @param uid the id of the job, or null if the submission has no valid id */
    MalformedSubmissionException(String uid, String reason) {
        super(reason);
        this.uid = uid;
    }

    /** The id of the job, if the submission has a valid one. */
    Optional<String> uid() {
        return Optional.ofNullable(uid);
    }
}
