package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.cloud.MachineType;
import io.sillreel.http.Call;
import io.sillreel.http.Handler;
import io.sillreel.http.Json;
import io.sillreel.http.Loop;
import io.sillreel.http.Reply;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Outcome;
import io.sillreel.statestore.StateStore.Txn;
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
public final class Admission implements Handler {
    private static final Logger LOG = LoggerFactory.getLogger(Admission.class);
    private static final String RUNS = "/v2/runs";
    private static final int RETRY_SECONDS = 1;
    private static final int MOST_TRIES = 5;

    private final StateStore store;
    private final Loop loop;
    private final Settings settings;
    private final Supplier<Map<String, MachineType>> types;
    private final LiveCounts live;
    private final Consumer<String> onWithdrawn;
    private final JobViews views;

    /** @param onWithdrawn told of each withdrawal that is stored here, before its user is */
    public Admission(
            StateStore store,
            Loop loop,
            Settings settings,
            Supplier<Map<String, MachineType>> types,
            LiveCounts live,
            Consumer<String> onWithdrawn) {
        this.store = store;
        this.loop = loop;
        this.settings = settings;
        this.types = types;
        this.live = live;
        this.onWithdrawn = onWithdrawn;
        this.views = new JobViews(store, loop, settings.state().txnOps());
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        String route = call.route();
        if (route.equals(RUNS)) {
            return call.method().equals("POST") ? submit(call) : done(Reply.refusal(405, "use POST"));
        }
        String rest = route.substring(RUNS.length() + 1);
        boolean withdraw = rest.endsWith("/withdraw");
        String uid = withdraw ? rest.substring(0, rest.length() - "/withdraw".length()) : rest;
        if (uid.contains("/")) {
            return done(Reply.refusal(404, "no such path"));
        }
        if (!call.method().equals(withdraw ? "POST" : "GET")) {
            return done(Reply.refusal(405, withdraw ? "use POST" : "use GET"));
        }
        if (!JobReader.isUid(uid)) {
            return done(Reply.refusal(404, "no such job"));
        }
        return withdraw ? withdraw(uid, MOST_TRIES) : poll(uid);
    }

    private CompletableFuture<Reply> poll(String uid) {
        return views.fresh(uid).thenApply(view -> {
            if (view == null) {
                return cannotRead();
            }
            return view.accepted() ? Reply.of(200, answer(view)) : Reply.refusal(404, "no such job");
        });
    }

    private CompletableFuture<Reply> submit(Call call) {
        JsonNode body = Json.parse(call.body());
        if (!body.isObject()) {
            return done(Reply.refusal(400, "the body is not a JSON object"));
        }
        JsonNode named = body.path("uid");
        if (!named.isTextual() || !JobReader.isUid(named.asText())) {
            return done(Reply.refusal(400, "uid: is not of the form job-000412"));
        }
        String uid = named.asText();
        JobSpec spec;
        try {
            spec = JobReader.read(body);
        } catch (JobReader.Malformed e) {
            return unlessKnown(uid, Reply.refusal(400, e.getMessage()));
        }
        Map<String, MachineType> known = types.get();
        if (known.isEmpty()) {
            return unlessKnown(uid, Reply.later(503, "the machine types are not known yet", 2));
        }
        Optional<String> never = JobReader.neverRuns(spec, settings.teams().get(spec.crew()), known.values());
        if (never.isPresent()) {
            return unlessKnown(uid, Reply.refusal(422, never.get()));
        }
        if (views.remembered(uid).accepted()) {
            return unlessKnown(uid, cannotRead());
        }
        return admit(spec, MOST_TRIES);
    }

    private CompletableFuture<Reply> admit(JobSpec spec, int tries) {
        if (store.silent()) {
            return done(cannotRead());
        }
        if (spec.awaits().isEmpty()) {
            return store(spec, List.of(), tries);
        }
        // Once accepted a job stays so, and that may be remembered; that it never was, only the store can say.
        return views.fresh(spec.awaits()).thenCompose(awaited -> {
            if (awaited.contains(null)) {
                return done(cannotRead());
            }
            for (JobView each : awaited) {
                if (!each.accepted()) {
                    return unlessKnown(spec.uid(), Reply.refusal(422, "awaits: " + each.uid() + " was never accepted"));
                }
            }
            return store(spec, awaited, tries);
        });
    }

    /** Stores the plan; that of a job which awaits a withdrawn one together with its own withdrawal. */
    private CompletableFuture<Reply> store(JobSpec spec, List<JobView> awaited, int tries) {
        String uid = spec.uid();
        String key = "plan/" + uid;
        long now = loop.wallMicros();
        ObjectNode plan = Json.object().put("at_us", now);
        plan.set("job", spec.json());
        if (Json.bytes(plan).length > settings.state().valueBytes()) {
            return unlessKnown(uid, Reply.refusal(422, "the job's description is too large to be stored"));
        }
        Txn txn = new Txn().require(key, 0).set(key, plan);
        Optional<JobView> withdrawn =
                awaited.stream().filter(JobView::withdrawn).findFirst();
        if (withdrawn.isPresent()) {
            txn.require("withdraw/" + uid, 0)
                    .set(
                            "withdraw/" + uid,
                            Json.object()
                                    .put("at_us", now)
                                    .put("by", withdrawn.get().uid()));
        } else {
            // As far as there is room: what is withdrawn in this very moment closes the job all the same.
            awaited.stream()
                    .filter(each -> !each.done())
                    .limit(4L * settings.state().txnOps() - 1)
                    .forEach(each -> txn.require("withdraw/" + each.uid(), 0));
        }
        return store.commit(txn).thenCompose(commit -> {
            switch (commit.outcome()) {
                case OK -> {
                    JobView view = JobViews.planned(uid, commit.ledger(), spec);
                    view = withdrawn.isPresent() ? view.closedBy() : view;
                    views.remember(view);
                    LOG.info(
                            "admitted {}: {} x {} cpus, {} of {}, rank {}{}",
                            uid,
                            spec.pieces(),
                            spec.cpus(),
                            spec.lot(),
                            spec.crew(),
                            spec.rank().wire(),
                            awaited.isEmpty() ? "" : ", after " + String.join(", ", spec.awaits()));
                    String stage = view.withdrawn() ? "withdrawn" : "queued";
                    return done(Reply.of(201, Json.object().put("uid", uid).put("stage", stage)));
                }
                case REFUSED -> {
                    return done(Reply.later(503, "the state service does not take the job now", RETRY_SECONDS));
                }
                case TOO_LARGE -> {
                    return unlessKnown(uid, Reply.refusal(422, "the job's description is too large to be stored"));
                }
                default -> {
                    boolean moved = commit.outcome() == Outcome.CONFLICT
                            && !commit.failed().contains(key);
                    if (moved && tries > 1) {
                        // One of those that it awaits has been withdrawn since.
                        return admit(spec, tries - 1);
                    }
                    // Known already, or the answer got lost: only the store can say which.
                    return unlessKnown(uid, Reply.later(503, "the job could not be stored for certain", RETRY_SECONDS));
                }
            }
        });
    }

    /** A job that was accepted is answered as such before anything else is held against the request. */
    private CompletableFuture<Reply> unlessKnown(String uid, Reply otherwise) {
        return views.fresh(uid).thenApply(view -> {
            if (view == null) {
                return cannotRead();
            }
            return view.accepted() ? Reply.of(200, answer(view)) : otherwise;
        });
    }

    private CompletableFuture<Reply> withdraw(String uid, int tries) {
        if (tries == 0) {
            return done(Reply.later(503, "the job is changing too fast", RETRY_SECONDS));
        }
        return views.fresh(uid).thenCompose(view -> {
            if (view == null) {
                return done(cannotRead());
            }
            if (!view.accepted()) {
                return done(Reply.refusal(404, "no such job"));
            }
            if (view.terminal()) {
                return done(Reply.of(200, answer(view)));
            }
            String key = "withdraw/" + uid;
            // Conditional on the record as read: done and withdrawn exclude each other.
            Txn txn = new Txn()
                    .require(key, 0)
                    .require(RunRecord.key(uid), view.runStamp())
                    .set(key, Json.object().put("at_us", loop.wallMicros()));
            return store.commit(txn).thenCompose(commit -> {
                if (commit.outcome() == Outcome.OK) {
                    JobView withdrawn = new JobView(
                            uid,
                            view.planStamp(),
                            view.pieces(),
                            view.awaits(),
                            view.runStamp(),
                            view.head(),
                            commit.ledger(),
                            false);
                    views.remember(withdrawn);
                    LOG.info("withdrawn {}", uid);
                    onWithdrawn.accept(uid);
                    return done(Reply.of(200, answer(withdrawn)));
                }
                if (commit.outcome() == Outcome.REFUSED) {
                    return done(cannotRead());
                }
                return withdraw(uid, tries - 1);
            });
        });
    }

    private ObjectNode answer(JobView view) {
        return view.answer(view.terminal() ? null : live.of(view.uid()));
    }

    private static Reply cannotRead() {
        return Reply.later(503, "the state service can't be asked now", RETRY_SECONDS);
    }

    private static CompletableFuture<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
