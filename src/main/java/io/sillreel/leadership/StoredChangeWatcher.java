package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.WatchEvent;
import io.sillreel.statestore.WatchResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the plans and cancellations that the controllers store, until the term ends. Runs on the event loop; changes
 * are applied under the cluster lock.
 */
final class StoredChangeWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(StoredChangeWatcher.class);
    private static final long RETRY_MICROS = 300_000;
    private static final long PLAN_WATCH_MICROS = 10_000_000;
    /** Short, since each response confirms that all cancellations stored before its request are known. */
    private static final long CANCELLATION_WATCH_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Cluster cluster;
    private final LeaderElection election;
    private final LeaderJobs jobs;
    private long cancellationsKnownUntilMicros;
    private boolean closed;

    StoredChangeWatcher(
            EventLoop eventLoop, StateStore store, Cluster cluster, LeaderElection election, LeaderJobs jobs) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.cluster = cluster;
        this.election = election;
        this.jobs = jobs;
    }

    /** All cancellations have been listed by a request that was sent at the given time of the steady clock. */
    void cancellationsListed(long sentMicros) {
        cancellationsKnownUntilMicros = sentMicros;
    }

    /** Watches for changes after the revisions at which the state was read. */
    void start(StoredState state) {
        new PlanWatch().run(state.plansRevision());
        new CancellationWatch().run(state.cancellationsRevision());
    }

    void close() {
        closed = true;
    }

    /** All cancellations that were confirmed to a user before this time of the steady clock are known here. */
    long cancellationsKnownUntilMicros() {
        return cancellationsKnownUntilMicros;
    }

    /** Watches the keys under one prefix by consecutive long polls. */
    private abstract class PrefixWatch {
        private final String prefix;
        private final long blockMicros;
        private boolean hasFailedChange;

        /** @param blockMicros how long the state service may block a request while nothing changes */
        PrefixWatch(String prefix, long blockMicros) {
            this.prefix = prefix;
            this.blockMicros = blockMicros;
        }

        abstract void apply(WatchEvent change);

        /** All changes that were stored before the given time have been applied. */
        void caughtUp(long sentMicros) {}

        void run(long sinceRevision) {
            if (closed) {
                return;
            }
            long sentMicros = eventLoop.nowMicros();
            Runnable retry = () -> eventLoop.schedule(RETRY_MICROS, () -> run(sinceRevision));
            eventLoop
                    .unexpectedErrors()
                    .whenDone(
                            store.watch(prefix, sinceRevision, blockMicros),
                            "the watch of " + prefix,
                            result -> handle(result, sentMicros, retry),
                            retry);
        }

        private void handle(WatchResult result, long sentMicros, Runnable retry) {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case OK -> {
                    synchronized (cluster) {
                        result.events().forEach(this::applyConfined);
                    }
                    if (!hasFailedChange) {
                        caughtUp(sentMicros);
                    }
                    run(result.storeRevision());
                }
                // The missed changes are no longer available; the next term reads the whole state again.
                case COMPACTED -> election.resign("the watch of " + prefix + " was compacted");
                default -> retry.run();
            }
        }

        /**
         * An error with one change must not hold up the others. The next term reads the change again; until then, this
         * one does not count as caught up.
         */
        private void applyConfined(WatchEvent change) {
            hasFailedChange |=
                    !eventLoop.unexpectedErrors().runConfined("the change of " + change.key(), () -> apply(change));
        }
    }

    private final class PlanWatch extends PrefixWatch {
        PlanWatch() {
            super(PlanRecord.PREFIX, PLAN_WATCH_MICROS);
        }

        @Override
        void apply(WatchEvent change) {
            if (change.value() != null) {
                jobs.addAdmittedJob(PlanRecordCodec.decode(change.value()), change.revision());
            }
        }
    }

    private final class CancellationWatch extends PrefixWatch {
        CancellationWatch() {
            super(CancellationRecord.PREFIX, CANCELLATION_WATCH_MICROS);
        }

        @Override
        void apply(WatchEvent change) {
            String uid = change.key().substring(CancellationRecord.PREFIX.length());
            if (JobIdSet.isJobId(uid)) {
                jobs.jobCancelled(uid);
            } else {
                LOG.error("{} is the cancellation of no job", change.key());
            }
        }

        @Override
        void caughtUp(long sentMicros) {
            cancellationsKnownUntilMicros = Math.max(cancellationsKnownUntilMicros, sentMicros);
        }
    }
}
