package io.sillreel.admission;

import java.util.Optional;

/** Thrown for a malformed submission. The message is shown to the user; it names the field and the error. */
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
