package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.sim.SimCluster;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SubmissionDecoderTest {
    /** The stack of the run command in deploy/service.toml. */
    private static final int CONTROLLER_STACK_BYTES = 384 * 1024;

    private static final int WARM_UP_ROUNDS = 20;

    private final ObjectNode submission = SimCluster.job("job-000001", 3);

    @Test
    void reportsTheFirstMalformedFieldInDecodingOrder() {
        submission.put("pieces", 0).put("vcpus", -1).remove("crew");
        assertThatExceptionOfType(MalformedSubmissionException.class)
                .isThrownBy(() -> SubmissionDecoder.decode(submission))
                .withMessage("pieces: is not a whole number from 1 to 100000");
    }

    @Test
    void malformedSubmissionWithAValidIdCarriesTheId() {
        submission.remove("crew");
        assertThatExceptionOfType(MalformedSubmissionException.class)
                .isThrownBy(() -> SubmissionDecoder.decode(submission))
                .withMessage("crew: is missing")
                .satisfies(malformed -> assertThat(malformed.uid()).hasValue("job-000001"));
    }

    @Test
    void submissionWithoutAValidIdCarriesNoId() {
        submission.put("uid", "nonsense");
        assertThatExceptionOfType(MalformedSubmissionException.class)
                .isThrownBy(() -> SubmissionDecoder.decode(submission))
                .satisfies(malformed -> assertThat(malformed.uid()).isEmpty());
    }

    @Test
    void rejectsABodyThatIsNotJson() {
        assertThatExceptionOfType(MalformedSubmissionException.class)
                .isThrownBy(() -> SubmissionDecoder.decode("not json".getBytes(StandardCharsets.UTF_8)))
                .withMessage("the body is not a JSON object");
    }

    /** Guards against a stack overflow: the body was parsed by recursion, one level of nesting at a time. */
    @Test
    void rejectsADeeplyNestedBodyWithTheStackOfAController() throws InterruptedException {
        byte[] nested = ("[".repeat(2_000) + "]".repeat(2_000)).getBytes(StandardCharsets.UTF_8);
        List<Throwable> thrown = new ArrayList<>();
        Thread controller = new Thread(
                null,
                () -> {
                    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                        thrown.add(catchThrowable(() -> SubmissionDecoder.decode(nested)));
                    }
                },
                "controller",
                CONTROLLER_STACK_BYTES);
        controller.start();
        controller.join();
        assertThat(thrown).hasSize(WARM_UP_ROUNDS).hasOnlyElementsOfType(MalformedSubmissionException.class);
    }

    /** The protocol has receivers ignore unknown fields, however deeply they are nested within the limit. */
    @Test
    void ignoresADeeplyNestedUnknownField() throws MalformedSubmissionException {
        String nested = "[".repeat(900) + "]".repeat(900);
        String body = submission.toString().replaceFirst("\\{", "{\"unknown\":" + nested + ",");
        assertThat(SubmissionDecoder.decode(body.getBytes(StandardCharsets.UTF_8))
                        .uid())
                .isEqualTo("job-000001");
    }

    @Test
    void duplicateDependenciesCountOnce() throws MalformedSubmissionException {
        submission.putArray("awaits").add("job-000002").add("job-000003").add("job-000002");
        JobSpec spec = SubmissionDecoder.decode(submission);
        assertThat(spec.dependencies()).containsExactly("job-000002", "job-000003");
    }
}
