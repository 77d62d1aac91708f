package io.sillreel.admission;

import io.sillreel.cloud.MachineType;
import io.sillreel.http.HttpResponse;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.settings.Settings.Team;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits jobs. Submissions are idempotent by job id: the response to a resubmission of an admitted job is the status of
 * that job, even if the resubmission is invalid.
 */
final class JobSubmission {
    private static final Logger LOG = LoggerFactory.getLogger(JobSubmission.class);
    private static final int MAX_ATTEMPTS = 5;
    private static final int MAX_LOGGED_DEPENDENCIES = 8;

    private final StateStore store;
    private final JobTransactions transactions;
    private final JobStatusService statuses;
    private final JobResponses responses;
    private final Map<String, Team> teams;
    private final Supplier<Map<String, MachineType>> machineTypes;

    /** @param machineTypes the known machine types by name; empty until they have been read */
    JobSubmission(
            StateStore store,
            JobTransactions transactions,
            JobStatusService statuses,
            JobResponses responses,
            Map<String, Team> teams,
            Supplier<Map<String, MachineType>> machineTypes) {
        this.store = store;
        this.transactions = transactions;
        this.statuses = statuses;
        this.responses = responses;
        this.teams = teams;
        this.machineTypes = machineTypes;
    }

    /** Admits the job in the body of a request and completes with the response to the user. */
    CompletableFuture<HttpResponse> submit(byte[] body) {
        JobSpec spec;
        try {
            spec = SubmissionDecoder.decode(body);
        } catch (MalformedSubmissionException e) {
            HttpResponse malformed = JobResponses.malformed(e.getMessage());
            return e.uid().isPresent() ? respondUnlessAdmitted(e.uid().get(), malformed) : completed(malformed);
        }
        Map<String, MachineType> knownTypes = machineTypes.get();
        if (knownTypes.isEmpty()) {
            return respondUnlessAdmitted(spec.uid(), JobResponses.machineTypesUnknown());
        }
        Optional<String> infeasibilityReason = JobFeasibility.infeasibilityReason(spec, teams, knownTypes.values());
        if (infeasibilityReason.isPresent()) {
            return respondUnlessAdmitted(spec.uid(), JobResponses.rejected(infeasibilityReason.get()));
        }
        if (statuses.cached(spec.uid()).isAdmitted()) {
            return respondUnlessAdmitted(spec.uid(), JobResponses.storeUnavailable());
        }
        return admit(spec, MAX_ATTEMPTS);
    }

    private CompletableFuture<HttpResponse> admit(JobSpec spec, int attemptsLeft) {
        if (store.isUnresponsive()) {
            return completed(JobResponses.storeUnavailable());
        }
        if (spec.dependencies().isEmpty()) {
            return store(spec, List.of(), attemptsLeft);
        }
        if (!transactions.isStorable(spec)) {
            return respondUnlessAdmitted(spec.uid(), JobResponses.tooLarge(spec));
        }
        return statuses.queryAll(spec.dependencies())
                .thenCompose(dependencies -> dependencies.isEmpty()
                        ? completed(JobResponses.storeUnavailable())
                        : admit(spec, dependencies.get(), attemptsLeft));
    }

    private CompletableFuture<HttpResponse> admit(JobSpec spec, List<JobStatus> dependencies, int attemptsLeft) {
        for (JobStatus dependency : dependencies) {
            if (!dependency.isAdmitted()) {
                return respondUnlessAdmitted(spec.uid(), JobResponses.dependencyNotAdmitted(dependency.uid()));
            }
        }
        return store(spec, dependencies, attemptsLeft);
    }

    private CompletableFuture<HttpResponse> store(JobSpec spec, List<JobStatus> dependencies, int attemptsLeft) {
        return transactions.storePlan(spec, dependencies).thenCompose(result -> switch (result.outcome()) {
            case OK -> completed(admitted(spec, dependencies, result.storeRevision()));
            case REFUSED -> completed(JobResponses.writeRefused());
            case TOO_LARGE -> respondUnlessAdmitted(spec.uid(), JobResponses.tooLarge(spec));
            // Either the plan exists already or the outcome is unknown: only a read can distinguish these.
            default ->
                isDependencyChanged(spec, result) && attemptsLeft > 1
                        ? admit(spec, attemptsLeft - 1)
                        : respondUnlessAdmitted(spec.uid(), JobResponses.writeUncertain());
        });
    }

    /** True if the transaction failed only because a dependency has been cancelled since its status was read. */
    private static boolean isDependencyChanged(JobSpec spec, CommitResult result) {
        return result.outcome() == StoreOutcome.CONFLICT && !result.failedKeys().contains(PlanRecord.key(spec.uid()));
    }

    private HttpResponse admitted(JobSpec spec, List<JobStatus> dependencies, long planRevision) {
        JobStatus planned = JobStatus.ofPlan(spec.uid(), planRevision, spec.dependencies());
        JobStatus status =
                dependencies.stream().anyMatch(JobStatus::isCancelled) ? planned.withDependencyCancelled() : planned;
        statuses.cache(status);
        LOG.info(
                "admitted job {}: {} tasks of {} cpus each, class {}, team {}, priority class {}{}",
                spec.uid(),
                spec.tasks(),
                spec.cpus(),
                spec.jobClass(),
                spec.team(),
                spec.priorityClass().wireName(),
                dependenciesText(spec.dependencies()));
        return JobResponses.admitted(status);
    }

    private static String dependenciesText(List<String> dependencies) {
        if (dependencies.isEmpty()) {
            return "";
        }
        return ", depends on "
                + (dependencies.size() > MAX_LOGGED_DEPENDENCIES
                        ? dependencies.size() + " jobs"
                        : String.join(", ", dependencies));
    }

    /** Completes with the status of the job if it has been admitted, otherwise with the given response. */
    private CompletableFuture<HttpResponse> respondUnlessAdmitted(String uid, HttpResponse response) {
        return statuses.query(uid).thenApply(answer -> {
            if (answer.isEmpty()) {
                return JobResponses.storeUnavailable();
            }
            return answer.get().isAdmitted() ? responses.status(answer.get()) : response;
        });
    }

    private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
