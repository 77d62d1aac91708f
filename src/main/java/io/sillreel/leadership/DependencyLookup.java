package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Looks up in the state service whether dependencies that are not active in this term are done. Such a job either
 * completed long ago, or the watch of plans has not delivered its plan yet. Guarded by the cluster lock.
 */
final class DependencyLookup {
    private static final long RETRY_MICROS = 1_000_000;
    private static final int MAX_REMEMBERED_JOBS = 4_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Cluster cluster;
    private final DependencyGraph dependencies;
    /** The most recently completed jobs; the complete set is in the state service. */
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

    /** Records that the completion of the job is stored. */
    void recordDone(String uid) {
        doneUids.add(uid);
    }

    /** Polls the state service until the job is known to be done, and then notifies the dependency graph. */
    void lookUp(String uid) {
        if (closed || !dependencies.isAwaitingLookup(uid)) {
            return;
        }
        if (doneUids.contains(uid)) {
            dependencies.markExternalDone(uid);
            return;
        }
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.get(RunRecord.key(uid)),
                        "the look-up of job " + uid,
                        read -> handleRead(uid, read),
                        () -> scheduleLookUp(uid));
    }

    private void handleRead(String uid, ReadResult read) {
        synchronized (cluster) {
            if (read.outcome() == StoreOutcome.OK
                    && RunRecordCodec.isDone(read.entry().orElseThrow().value())) {
                recordDone(uid);
                dependencies.markExternalDone(uid);
                return;
            }
        }
        // The read failed, or the job is neither done nor active here: the watch may still deliver its plan.
        scheduleLookUp(uid);
    }

    private void scheduleLookUp(String uid) {
        eventLoop.schedule(RETRY_MICROS, () -> {
            synchronized (cluster) {
                lookUp(uid);
            }
        });
    }
}
