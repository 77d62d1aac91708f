package io.sillreel.admission;

import io.sillreel.http.Loop;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Outcome;
import io.sillreel.statestore.StateStore.Read;
import io.sillreel.statestore.StateStore.Txn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Fresh pictures of jobs. Remembered stamps are confirmed by a comparing transaction, many jobs at a time; what has moved
 * is read again. Either way the store was asked after the question came in, so no answer is older than one given before.
 */
final class JobViews {
    private static final int REMEMBERED = 4_000;
    private static final long GATHER_MICROS = 4_000;
    private static final int BATCHES_AT_ONCE = 2;

    private record Question(String uid, CompletableFuture<JobView> answer) {
    }

    private final StateStore store;
    private final Loop loop;
    private final int mostPerBatch;
    private final Map<String, JobView> views = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobView> eldest) {
            return size() > REMEMBERED;
        }
    };
    private final Deque<Question> questions = new ArrayDeque<>();
    private int batches;
    private boolean gathering;

    JobViews(StateStore store, Loop loop, int txnOps) {
        this.store = store;
        this.loop = loop;
        this.mostPerBatch = Math.max(1, Math.min(40, txnOps * 4 / 3));
    }

    synchronized JobView remembered(String uid) {
        JobView view = views.get(uid);
        return view == null ? JobView.unknown(uid) : view;
    }

    /** Remembers a view unless what is remembered is newer. */
    synchronized void remember(JobView view) {
        JobView old = remembered(view.uid());
        boolean runOlder = view.runStamp() < old.runStamp();
        JobView merged = new JobView(view.uid(), Math.max(view.planStamp(), old.planStamp()),
                Math.max(view.pieces(), old.pieces()), Math.max(view.runStamp(), old.runStamp()),
                runOlder ? old.head() : view.head(), Math.max(view.withdrawStamp(), old.withdrawStamp()));
        if (merged.accepted()) {
            views.put(view.uid(), merged);
        }
    }

    /** A view read after this call, or a terminal one; null if the store could not be asked. */
    CompletableFuture<JobView> fresh(String uid) {
        CompletableFuture<JobView> answer = new CompletableFuture<>();
        synchronized (this) {
            JobView view = remembered(uid);
            if (view.terminal()) {
                return CompletableFuture.completedFuture(view);
            }
            if (store.silent()) {
                return CompletableFuture.completedFuture(null);
            }
            questions.add(new Question(uid, answer));
            if (gathering || batches >= BATCHES_AT_ONCE) {
                return answer;
            }
            gathering = true;
        }
        loop.after(GATHER_MICROS, this::ask);
        return answer;
    }

    private void ask() {
        List<Question> batch = new ArrayList<>();
        List<JobView> compared = new ArrayList<>();
        Txn txn = new Txn();
        synchronized (this) {
            gathering = false;
            while (!questions.isEmpty() && batch.size() < mostPerBatch) {
                Question question = questions.poll();
                JobView view = remembered(question.uid());
                if (!view.accepted()) {
                    txn.require("plan/" + view.uid(), 0);
                }
                txn.require(RunRecord.key(view.uid()), view.runStamp());
                txn.require("withdraw/" + view.uid(), view.withdrawStamp());
                batch.add(question);
                compared.add(view);
            }
            if (batch.isEmpty()) {
                return;
            }
            batches++;
        }
        store.commit(txn).thenAccept(commit -> {
            synchronized (this) {
                batches--;
            }
            settle(batch, compared, commit);
            boolean more;
            synchronized (this) {
                more = !questions.isEmpty() && !gathering;
                gathering |= more;
            }
            if (more) {
                loop.after(0, this::ask);
            }
        });
    }

    private void settle(List<Question> batch, List<JobView> compared, StateStore.Commit commit) {
        for (int i = 0; i < batch.size(); i++) {
            Question question = batch.get(i);
            if (commit.outcome() == Outcome.OK) {
                question.answer().complete(compared.get(i));
            } else if (commit.outcome() == Outcome.UNKNOWN && !store.silent()) {
                // Transactions alone may go unanswered for a while; reading says the same.
                reread(question);
            } else if (commit.outcome() != Outcome.CONFLICT) {
                question.answer().complete(null);
            } else if (moved(question.uid(), commit.failed())) {
                reread(question);
            } else {
                synchronized (this) {
                    questions.add(question);
                }
            }
        }
    }

    private static boolean moved(String uid, List<String> failed) {
        return failed.contains("plan/" + uid) || failed.contains(RunRecord.key(uid))
                || failed.contains("withdraw/" + uid);
    }

    private void reread(Question question) {
        String uid = question.uid();
        JobView old = remembered(uid);
        CompletableFuture<Read> plan = old.accepted() ? null : store.get("plan/" + uid);
        CompletableFuture<Read> run = store.get(RunRecord.key(uid));
        CompletableFuture<Read> withdraw = store.get("withdraw/" + uid);
        CompletableFuture<?> all = plan == null ? CompletableFuture.allOf(run, withdraw)
                : CompletableFuture.allOf(plan, run, withdraw);
        all.thenRun(() -> {
            if (plan != null && !plan.join().decided() || !run.join().decided() || !withdraw.join().decided()) {
                question.answer().complete(null);
                return;
            }
            JobView view = new JobView(uid, plan == null ? old.planStamp() : plan.join().stamp(),
                    plan == null ? old.pieces() : pieces(plan.join()), run.join().stamp(),
                    run.join().entry() == null ? null : RunRecord.Head.of(run.join().entry().value()),
                    withdraw.join().stamp());
            remember(view);
            question.answer().complete(view);
        });
    }

    private static int pieces(Read plan) {
        return plan.entry() == null ? 0 : plan.entry().value().path("job").path("pieces").asInt();
    }
}
