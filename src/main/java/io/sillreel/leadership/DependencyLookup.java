package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds out whether jobs that are not active in this term, and on which others depend, are done. Such a job ended long
 * ago, or its plan has not been seen yet. Guarded by the lock of the cluster.
 */
final class DependencyLookup {
    private static final long RETRY_MICROS = 1_000_000;
    private static final int MAX_REMEMBERED_JOBS = 4_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Cluster cluster;
    private final DependencyGraph dependencies;
    /** Jobs that are done, the latest ones; the state store knows all of them. */
    private final Set<String> doneUids = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REMEMBERED_JOBS;
        }
    });

    private boolean closed;

    DependencyLookup(EventLoop eventLoop, StateStore store, Cluster cluster, DependencyGraph dependencies) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.cluster = cluster;
        this.dependencies = dependencies;
    }

    void close() {
        closed = true;
    }

    /** The completion of the job is stored. */
    void recordDone(String uid) {
        doneUids.add(uid);
    }

    /** Tells the dependency graph once the job is known to be done; until then the state store is read again. */
    void lookUp(String uid) {
        if (closed || !dependencies.isAwaitingLookup(uid)) {
            return;
        }
        if (doneUids.contains(uid)) {
            dependencies.markExternalDone(uid);
            return;
        }
        store.get(RunRecord.key(uid)).thenAccept(read -> {
            synchronized (cluster) {
                if (read.outcome() == StoreOutcome.OK
                        && RunRecordCodec.isDone(read.entry().orElseThrow().value())) {
                    recordDone(uid);
                    dependencies.markExternalDone(uid);
                    return;
                }
            }
            // Not read, or not done and not active here: the plan may still be seen by the watch of plans.
            eventLoop.schedule(RETRY_MICROS, () -> {
                synchronized (cluster) {
                    lookUp(uid);
                }
            });
        });
    }
}
