package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.cloud.MachineType;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.settings.Settings;
import io.sillreel.settings.Settings.StateLimits;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' interface. Any controller admits and answers: a plan is written by the one that was asked, and what is
 * told is either terminal and stored, or was confirmed by the store after the question came in.
 */
public final class Admission implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Admission.class);
    private static final String RUNS = "/v2/runs";
    /** A plan that is not cut is one value. */
    private static final int WHOLE = 1;

    private static final int MAX_LOGGED = 8;
    private static final int RETRY_SECONDS = 1;
    private static final int MAX_TRIES = 5;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final Supplier<Map<String, MachineType>> machineTypes;
    private final LiveTaskCounts liveTaskCounts;
    private final Consumer<String> cancellationListener;
    private final JobStatusService statuses;

    /** @param onCancelled told of each cancellation that is stored here, before its user is */
    public Admission(
            StateStore store,
            EventLoop eventLoop,
            Settings settings,
            ProcessLimits limits,
            Supplier<Map<String, MachineType>> types,
            LiveTaskCounts live,
            Consumer<String> onCancelled) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.machineTypes = types;
        this.liveTaskCounts = live;
        this.cancellationListener = onCancelled;
        this.statuses = new JobStatusService(
                store, eventLoop, settings.state().maxTransactionChanges(), limits.cachedJobStatuses());
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        String route = request.route();
        if (route.equals(RUNS)) {
            return request.method().equals("POST") ? submit(request) : completed(HttpResponse.error(405, "use POST"));
        }
        String rest = route.substring(RUNS.length() + 1);
        boolean cancel = rest.endsWith("/withdraw");
        String uid = cancel ? rest.substring(0, rest.length() - "/withdraw".length()) : rest;
        if (uid.contains("/")) {
            return completed(HttpResponse.error(404, "no such path"));
        }
        if (!request.method().equals(cancel ? "POST" : "GET")) {
            return completed(HttpResponse.error(405, cancel ? "use POST" : "use GET"));
        }
        if (!SubmissionDecoder.isUid(uid)) {
            return completed(HttpResponse.error(404, "no such job"));
        }
        return cancel ? cancel(uid, MAX_TRIES) : poll(uid);
    }

    private CompletableFuture<HttpResponse> poll(String uid) {
        return statuses.query(uid).thenApply(status -> {
            if (status == null) {
                return cannotRead();
            }
            return status.isAccepted() ? HttpResponse.of(200, answer(status)) : HttpResponse.error(404, "no such job");
        });
    }

    private CompletableFuture<HttpResponse> submit(HttpRequest request) {
        JsonNode body = Json.parse(request.body());
        if (!body.isObject()) {
            return completed(HttpResponse.error(400, "the body is not a JSON object"));
        }
        JsonNode named = body.path("uid");
        if (!named.isTextual() || !SubmissionDecoder.isUid(named.asText())) {
            return completed(HttpResponse.error(400, "uid: is not of the form job-000412"));
        }
        String uid = named.asText();
        JobSpec spec;
        try {
            spec = SubmissionDecoder.read(body);
        } catch (SubmissionDecoder.MalformedSubmissionException e) {
            return unlessKnown(uid, HttpResponse.error(400, e.getMessage()));
        }
        Map<String, MachineType> known = machineTypes.get();
        if (known.isEmpty()) {
            return unlessKnown(uid, HttpResponse.retryLater(503, "the machine types are not known yet", 2));
        }
        Optional<String> never =
                SubmissionDecoder.neverRuns(spec, settings.teams().get(spec.team()), known.values());
        if (never.isPresent()) {
            return unlessKnown(uid, HttpResponse.error(422, never.get()));
        }
        if (statuses.cached(uid).isAccepted()) {
            return unlessKnown(uid, cannotRead());
        }
        return admit(spec, MAX_TRIES);
    }

    private CompletableFuture<HttpResponse> admit(JobSpec spec, int tries) {
        if (store.isUnresponsive()) {
            return completed(cannotRead());
        }
        if (spec.dependencies().isEmpty()) {
            return store(spec, List.of(), tries);
        }
        if (cut(new PlanRecord(eventLoop.wallMicros(), spec)).isEmpty()) {
            return unlessKnown(spec.uid(), tooLarge(spec));
        }
        // Once accepted a job stays so, and that may be remembered; that it never was, only the store can say.
        return statuses.query(spec.dependencies()).thenCompose(awaited -> {
            if (awaited.contains(null)) {
                return completed(cannotRead());
            }
            for (JobStatus each : awaited) {
                if (!each.isAccepted()) {
                    return unlessKnown(
                            spec.uid(), HttpResponse.error(422, "awaits: " + each.uid() + " was never accepted"));
                }
            }
            return store(spec, awaited, tries);
        });
    }

    /**
     * Stores the plan. Controllers of the previous version read only plans that are one value, so a job that such a
     * controller may drive is cut only once the state service has refused the size: then the announced limits are in
     * force, and no such controller is left. Jobs that await others are submitted only after the upgrade.
     */
    private CompletableFuture<HttpResponse> store(JobSpec spec, List<JobStatus> awaited, int tries) {
        PlanRecord plan = new PlanRecord(eventLoop.wallMicros(), spec);
        ValueLimits limits = settings.state().values();
        boolean maybeCut = !spec.dependencies().isEmpty();
        Optional<Map<String, JsonNode>> values =
                maybeCut ? cut(plan) : PlanOverflow.split(plan, limits.presentBytes(), WHOLE);
        if (values.isEmpty()) {
            return unlessKnown(spec.uid(), tooLarge(spec));
        }
        return commit(plan, values.get(), awaited)
                .thenCompose(commit -> {
                    boolean cutSmaller = commit.outcome() == StoreOutcome.TOO_LARGE && !maybeCut;
                    Optional<Map<String, JsonNode>> smaller = cutSmaller ? cut(plan) : Optional.empty();
                    return smaller.isPresent()
                            ? commit(plan, smaller.get(), awaited)
                            : CompletableFuture.completedFuture(commit);
                })
                .thenCompose(commit -> stored(spec, awaited, commit, tries));
    }

    /** The plan as it can be stored under the announced limits; one change is left for the cancellation. */
    private Optional<Map<String, JsonNode>> cut(PlanRecord plan) {
        StateLimits limits = settings.state();
        return PlanOverflow.split(
                plan, limits.values().announcedBytes(), Math.max(WHOLE, limits.maxTransactionChanges() - 1));
    }

    /** Stores the values of a plan; a job which awaits a cancelled one is cancelled in the same transaction. */
    private CompletableFuture<CommitResult> commit(
            PlanRecord plan, Map<String, JsonNode> values, List<JobStatus> awaited) {
        String uid = plan.spec().uid();
        Transaction transaction = new Transaction().requireRevision(PlanRecord.key(uid), 0);
        values.forEach(transaction::set);
        Optional<JobStatus> cancelled = firstCancelled(awaited);
        if (cancelled.isPresent()) {
            ObjectNode closed = CancellationRecord.encode(
                    plan.admittedWallMicros(), cancelled.get().uid());
            transaction.requireRevision(CancellationRecord.key(uid), 0).set(CancellationRecord.key(uid), closed);
        } else {
            // As far as there is room: what is cancelled in this very moment closes the job all the same.
            awaited.stream()
                    .filter(each -> !each.isDone())
                    .limit(4L * settings.state().maxTransactionChanges() - 1)
                    .forEach(each -> transaction.requireRevision(CancellationRecord.key(each.uid()), 0));
        }
        return store.commit(transaction);
    }

    private static Optional<JobStatus> firstCancelled(List<JobStatus> awaited) {
        return awaited.stream().filter(JobStatus::isCancelled).findFirst();
    }

    private CompletableFuture<HttpResponse> stored(
            JobSpec spec, List<JobStatus> awaited, CommitResult commit, int tries) {
        String uid = spec.uid();
        switch (commit.outcome()) {
            case OK -> {
                return completed(admitted(
                        spec, commit.storeRevision(), firstCancelled(awaited).isPresent()));
            }
            case REFUSED -> {
                return completed(
                        HttpResponse.retryLater(503, "the state service does not take the job now", RETRY_SECONDS));
            }
            case TOO_LARGE -> {
                return unlessKnown(uid, tooLarge(spec));
            }
            default -> {
                boolean moved = commit.outcome() == StoreOutcome.CONFLICT
                        && !commit.failedKeys().contains(PlanRecord.key(uid));
                if (moved && tries > 1) {
                    // One of those that it awaits has been cancelled since.
                    return admit(spec, tries - 1);
                }
                // Known already, or the answer got lost: only the store can say which.
                return unlessKnown(
                        uid, HttpResponse.retryLater(503, "the job could not be stored for certain", RETRY_SECONDS));
            }
        }
    }

    private HttpResponse admitted(JobSpec spec, long planRevision, boolean cancelled) {
        JobStatus planned = JobStatusReader.statusOfPlan(spec.uid(), planRevision, spec);
        JobStatus status = cancelled ? planned.withDependencyCancelled() : planned;
        statuses.cache(status);
        LOG.info(
                "admitted {}: {} x {} cpus, {} of {}, rank {}{}",
                spec.uid(),
                spec.tasks(),
                spec.cpus(),
                spec.jobClass(),
                spec.team(),
                spec.priorityClass().wireName(),
                after(spec.dependencies()));
        String stage = status.isCancelled() ? "withdrawn" : "queued";
        return HttpResponse.of(201, Json.object().put("uid", spec.uid()).put("stage", stage));
    }

    private static String after(List<String> awaits) {
        if (awaits.isEmpty()) {
            return "";
        }
        return ", after " + (awaits.size() > MAX_LOGGED ? awaits.size() + " jobs" : String.join(", ", awaits));
    }

    private static HttpResponse tooLarge(JobSpec spec) {
        int names = spec.dependencies().size();
        String awaits = names == 0 ? "" : "; it awaits " + names + " jobs, split them over several jobs";
        return HttpResponse.error(422, "the job's description is too large to be stored" + awaits);
    }

    /** A job that was accepted is answered as such before anything else is held against the request. */
    private CompletableFuture<HttpResponse> unlessKnown(String uid, HttpResponse otherwise) {
        return statuses.query(uid).thenApply(status -> {
            if (status == null) {
                return cannotRead();
            }
            return status.isAccepted() ? HttpResponse.of(200, answer(status)) : otherwise;
        });
    }

    private CompletableFuture<HttpResponse> cancel(String uid, int tries) {
        if (tries == 0) {
            return completed(HttpResponse.retryLater(503, "the job is changing too fast", RETRY_SECONDS));
        }
        return statuses.query(uid).thenCompose(status -> {
            if (status == null) {
                return completed(cannotRead());
            }
            if (!status.isAccepted()) {
                return completed(HttpResponse.error(404, "no such job"));
            }
            if (status.isTerminal()) {
                return completed(HttpResponse.of(200, answer(status)));
            }
            String key = CancellationRecord.key(uid);
            // Conditional on the record as read: done and cancelled exclude each other.
            Transaction transaction = new Transaction()
                    .requireRevision(key, 0)
                    .requireRevision(RunRecord.key(uid), status.runRevision())
                    .set(key, CancellationRecord.encode(eventLoop.wallMicros()));
            return store.commit(transaction).thenCompose(commit -> {
                if (commit.outcome() == StoreOutcome.OK) {
                    JobStatus cancelled = new JobStatus(
                            uid,
                            status.planRevision(),
                            status.tasks(),
                            status.dependencies(),
                            status.runRevision(),
                            status.runHead(),
                            commit.storeRevision(),
                            false);
                    statuses.cache(cancelled);
                    LOG.info("cancelled {}", uid);
                    cancellationListener.accept(uid);
                    return completed(HttpResponse.of(200, answer(cancelled)));
                }
                if (commit.outcome() == StoreOutcome.REFUSED) {
                    return completed(cannotRead());
                }
                return cancel(uid, tries - 1);
            });
        });
    }

    private ObjectNode answer(JobStatus status) {
        return status.answer(status.isTerminal() ? Optional.empty() : liveTaskCounts.countsOf(status.uid()));
    }

    private static HttpResponse cannotRead() {
        return HttpResponse.retryLater(503, "the state service can't be asked now", RETRY_SECONDS);
    }

    private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
