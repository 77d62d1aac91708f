package io.sillreel.admission;

import io.sillreel.cloud.MachineType;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Handles the HTTP API for users: submits, polls and cancels jobs. Every controller serves it, leader or follower,
 * since each response is either a stored terminal status or was confirmed by the state service after the request
 * arrived.
 */
public final class JobApiHandler implements HttpHandler {
    private static final String JOBS_PATH = "/v2/runs";
    private static final String CANCEL_SUFFIX = "/withdraw";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final JobStatusService statuses;
    private final JobResponses responses;
    private final JobSubmission submission;
    private final JobCancellation cancellation;

    /**
     * Creates the handler.
     *
     * @param machineTypes the known machine types by name; empty until they have been read
     * @param liveTaskCounts task counts that are newer than the stored ones
     * @param cancellationListener receives the id of each job whose cancellation this controller has stored, before the
     *     response is sent
     */
    public JobApiHandler(
            StateStore store,
            EventLoop eventLoop,
            Settings settings,
            ProcessLimits limits,
            Supplier<Map<String, MachineType>> machineTypes,
            LiveTaskCounts liveTaskCounts,
            Consumer<String> cancellationListener) {
        JobTransactions transactions = new JobTransactions(store, eventLoop, settings.state());
        this.statuses = new JobStatusService(
                store, eventLoop, settings.state().maxTransactionChanges(), limits.cachedJobStatuses());
        this.responses = new JobResponses(liveTaskCounts);
        this.submission = new JobSubmission(store, transactions, statuses, responses, settings.teams(), machineTypes);
        this.cancellation = new JobCancellation(transactions, statuses, responses, cancellationListener);
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        String route = request.route();
        if (route.equals(JOBS_PATH)) {
            return request.method().equals(POST)
                    ? submission.submit(request.body())
                    : completed(JobResponses.methodNotAllowed(POST));
        }
        String rest = route.substring(JOBS_PATH.length() + 1);
        boolean isCancellation = rest.endsWith(CANCEL_SUFFIX);
        String uid = isCancellation ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
        if (uid.contains("/")) {
            return completed(JobResponses.pathNotFound());
        }
        String method = isCancellation ? POST : GET;
        if (!request.method().equals(method)) {
            return completed(JobResponses.methodNotAllowed(method));
        }
        if (!SubmissionDecoder.isUid(uid)) {
            return completed(JobResponses.jobNotFound());
        }
        return isCancellation ? cancellation.cancel(uid) : poll(uid);
    }

    private CompletableFuture<HttpResponse> poll(String uid) {
        return statuses.query(uid).thenApply(answer -> {
            if (answer.isEmpty()) {
                return JobResponses.storeUnavailable();
            }
            return answer.get().isAdmitted() ? responses.status(answer.get()) : JobResponses.jobNotFound();
        });
    }

    private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
