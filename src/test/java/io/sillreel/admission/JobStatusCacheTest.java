package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class JobStatusCacheTest {
    private static final String UID = "job-000001";

    private final JobStatusCache cache = new JobStatusCache(2);

    @Test
    void returnsAnUnknownStatusForAJobThatIsNotCached() {
        assertThat(cache.get(UID).isAdmitted()).isFalse();
    }

    @Test
    void doesNotCacheJobsThatAreNotAccepted() {
        cache.merge(JobStatus.unknown(UID).withCancellation(7));
        assertThat(cache.get(UID).cancellationRevision()).isZero();
    }

    @Test
    void olderStatusDoesNotReplaceANewerOne() {
        JobStatus planned = JobStatus.ofPlan(UID, 5, List.of());
        cache.merge(planned.withCancellation(9));
        cache.merge(planned);
        assertThat(cache.get(UID).cancellationRevision()).isEqualTo(9);
    }

    @Test
    void evictsTheLeastRecentlyUsedStatus() {
        cache.merge(JobStatus.ofPlan("job-000001", 1, List.of()));
        cache.merge(JobStatus.ofPlan("job-000002", 2, List.of()));
        cache.get("job-000001");
        cache.merge(JobStatus.ofPlan("job-000003", 3, List.of()));
        assertThat(cache.get("job-000001").isAdmitted()).isTrue();
        assertThat(cache.get("job-000002").isAdmitted()).isFalse();
    }
}
