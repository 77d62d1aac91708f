package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.sim.SimCluster;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SubmissionDecoderTest {
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

    @Test
    void duplicateDependenciesCountOnce() throws MalformedSubmissionException {
        submission.putArray("awaits").add("job-000002").add("job-000003").add("job-000002");
        JobSpec spec = SubmissionDecoder.decode(submission);
        assertThat(spec.dependencies()).containsExactly("job-000002", "job-000003");
    }
}
