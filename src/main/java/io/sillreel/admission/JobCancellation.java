package io.sillreel.admission;

import io.sillreel.http.HttpResponse;
import io.sillreel.statestore.StoreOutcome;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cancels jobs at the request of users. Cancelling a job that is done or cancelled has no effect. */
final class JobCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(JobCancellation.class);
    private static final int MAX_ATTEMPTS = 5;

    private final JobTransactions transactions;
    private final JobStatusService statuses;
    private final JobResponses responses;
    private final Consumer<String> listener;

    /** @param listener receives the id of each job whose cancellation is stored here, before the response is sent */
    JobCancellation(
            JobTransactions transactions,
            JobStatusService statuses,
            JobResponses responses,
            Consumer<String> listener) {
        this.transactions = transactions;
        this.statuses = statuses;
        this.responses = responses;
        this.listener = listener;
    }

    /** Cancels the job and completes with the response to the user. */
    CompletableFuture<HttpResponse> cancel(String uid) {
        return cancel(uid, MAX_ATTEMPTS);
    }

    private CompletableFuture<HttpResponse> cancel(String uid, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.completedFuture(JobResponses.tooManyConflicts());
        }
        return statuses.query(uid).thenCompose(answer -> {
            Optional<HttpResponse> response = responseWithoutWrite(answer);
            return response.isPresent()
                    ? CompletableFuture.completedFuture(response.get())
                    : store(answer.get(), attemptsLeft);
        });
    }

    /** The response if there is nothing to cancel or the status is unavailable; otherwise empty. */
    private Optional<HttpResponse> responseWithoutWrite(Optional<JobStatus> answer) {
        if (answer.isEmpty()) {
            return Optional.of(JobResponses.storeUnavailable());
        }
        JobStatus status = answer.get();
        if (!status.isAdmitted()) {
            return Optional.of(JobResponses.jobNotFound());
        }
        return status.isTerminal() ? Optional.of(responses.status(status)) : Optional.empty();
    }

    private CompletableFuture<HttpResponse> store(JobStatus status, int attemptsLeft) {
        return transactions.storeCancellation(status).thenCompose(result -> {
            if (result.outcome() == StoreOutcome.OK) {
                JobStatus cancelled = status.withCancellation(result.storeRevision());
                statuses.cache(cancelled);
                LOG.info("cancelled job {}", status.uid());
                listener.accept(status.uid());
                return CompletableFuture.completedFuture(responses.status(cancelled));
            }
            return result.outcome() == StoreOutcome.REFUSED
                    ? CompletableFuture.completedFuture(JobResponses.storeUnavailable())
                    : cancel(status.uid(), attemptsLeft - 1);
        });
    }
}
