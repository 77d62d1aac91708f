package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Typed access to the fields of a submission. The methods throw {@link MalformedSubmissionException} with the name of
 * the field if its value has another type or is out of range.
 *
 * @param uid the id of the job
 */
record SubmissionFields(String uid, JsonNode body) {
    private static final int MAX_TEXT_LENGTH = 200;
    private static final double MAX_AMOUNT = 1e12;
    private static final double MICROS_PER_SECOND = 1_000_000;

    boolean has(String name) {
        return body.hasNonNull(name);
    }

    /** Reads a string of 1 to 200 characters. */
    String text(String name) throws MalformedSubmissionException {
        JsonNode value = required(name);
        if (!value.isTextual() || value.asText().isEmpty() || value.asText().length() > MAX_TEXT_LENGTH) {
            throw malformed(name, "is not a text of 1 to " + MAX_TEXT_LENGTH + " characters");
        }
        return value.asText();
    }

    /** Reads a list of strings; empty if the field is missing or null. */
    Optional<List<String>> optionalTexts(String name) throws MalformedSubmissionException {
        if (!has(name)) {
            return Optional.empty();
        }
        JsonNode value = body.path(name);
        if (!value.isArray()) {
            throw malformed(name, "is not a list of texts");
        }
        List<String> texts = new ArrayList<>(value.size());
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw malformed(name, "is not a list of texts");
            }
            texts.add(element.asText());
        }
        return Optional.of(List.copyOf(texts));
    }

    boolean flag(String name) throws MalformedSubmissionException {
        JsonNode value = required(name);
        if (!value.isBoolean()) {
            throw malformed(name, "is not true or false");
        }
        return value.asBoolean();
    }

    /** Reads an integer from 1 to the maximum. */
    int count(String name, int max) throws MalformedSubmissionException {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.asInt() < 1 || value.asInt() > max) {
            throw malformed(name, "is not a whole number from 1 to " + max);
        }
        return value.asInt();
    }

    /** Reads a number from 0 to {@link #MAX_AMOUNT}. */
    double amount(String name) throws MalformedSubmissionException {
        JsonNode value = required(name);
        double amount = value.asDouble();
        if (!value.isNumber() || !Double.isFinite(amount) || amount < 0 || amount > MAX_AMOUNT) {
            throw malformed(name, "is not an amount of at least 0");
        }
        return amount;
    }

    /** Reads a duration in seconds and returns it in microseconds. */
    long micros(String name) throws MalformedSubmissionException {
        return Math.round(amount(name) * MICROS_PER_SECOND);
    }

    MalformedSubmissionException malformed(String name, String problem) {
        return new MalformedSubmissionException(uid, name + ": " + problem);
    }

    private JsonNode required(String name) throws MalformedSubmissionException {
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            throw malformed(name, "is missing");
        }
        return value;
    }
}
