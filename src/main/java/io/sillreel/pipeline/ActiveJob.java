package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.KeyWriter;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Int2IntCounterMap;

/**
 * A pipeline as its lease holder drives it: which pieces are done, which have a seat on a machine, and what of that is
 * stored. Nothing is launched before the release is stored, nothing is reaped before the settlement is.
 */
public final class ActiveJob implements KeyWriter.Item {
    /** Told in the loop about what happened to the record. */
    public interface Watcher {
        void recordStored(ActiveJob job);

        void foundWithdrawn(ActiveJob job);
    }

    private final JobSpec spec;
    private final long planStamp;
    private final long admittedWallMicros;
    private final int chunkPieces;
    private final Watcher watcher;
    private final PipelineRun run;

    private final BitSet done = new BitSet();
    private final BitSet stored = new BitSet();
    private final BitSet sent = new BitSet();
    private final BitSet seated = new BitSet();
    /** Pieces that are done or have a seat; kept with the counts, since reports ask for them all the time. */
    private final BitSet taken = new BitSet();
    private final Int2IntCounterMap seats = new Int2IntCounterMap(0);
    private final Set<Integer> dirtyChunks = new HashSet<>();
    private final Set<String> failedOn = new HashSet<>();

    private int doneCount;
    private int seatedCount;
    private int takenCount;
    private int ranCount;
    private long ranMicros;
    private long longestMicros;
    private long runStamp;
    private boolean released;
    private boolean inherited;
    private boolean doneSent;
    private boolean doneStored;
    private boolean withdrawn;
    private int attempts;
    private int attemptsSent;
    private long nextWallMicros;
    private String reason;
    private boolean succeededOnce;

    public ActiveJob(JobSpec spec, long planStamp, long admittedWallMicros, int valueBytes, Watcher watcher) {
        this.spec = spec;
        this.planStamp = planStamp;
        this.admittedWallMicros = admittedWallMicros;
        this.chunkPieces = RunRecord.chunkPieces(valueBytes);
        this.watcher = watcher;
        this.run = new PipelineRun(PipelinePlan.ofOneJob(spec.uid()));
    }

    /** Takes over what an earlier holder stored: the job may have tasks anywhere in the stored fleet. */
    public void inherit(long stamp, RunRecord.Head head, Map<Integer, String> chunks) {
        runStamp = stamp;
        released = true;
        inherited = true;
        run.release(spec.uid());
        attempts = head.attempts();
        attemptsSent = attempts;
        nextWallMicros = head.nextMicros();
        reason = head.reason();
        if (chunked()) {
            chunks.forEach((chunk, bits) -> RunRecord.decode(bits).stream()
                    .forEach(bit -> done.set(chunk * chunkPieces + bit)));
        } else {
            done.or(RunRecord.decode(head.bits()));
        }
        stored.or(done);
        taken.or(done);
        doneCount = done.cardinality();
        takenCount = doneCount;
        succeededOnce = doneCount > 0;
    }

    public JobSpec spec() {
        return spec;
    }

    public String uid() {
        return spec.uid();
    }

    /** Plans are served in the order of these stamps. */
    public long planStamp() {
        return planStamp;
    }

    public long admittedWallMicros() {
        return admittedWallMicros;
    }

    /** True once the release is stored: only then may tasks be launched. */
    public boolean released() {
        return released;
    }

    /** True if an earlier holder may have launched tasks of this job. */
    public boolean inherited() {
        return inherited;
    }

    public boolean withdrawn() {
        return withdrawn;
    }

    public void withdraw() {
        withdrawn = true;
        run.cancel();
    }

    public boolean complete() {
        return doneCount == spec.pieces();
    }

    /** True once every user may be told that the job is done. */
    public boolean doneStored() {
        return doneStored;
    }

    public int doneCount() {
        return doneCount;
    }

    public boolean isDone(int piece) {
        return done.get(piece);
    }

    public boolean isStored(int piece) {
        return stored.get(piece);
    }

    /** Marks the piece as completed; true if that is news. */
    public boolean settle(int piece) {
        if (piece < 0 || piece >= spec.pieces() || done.get(piece)) {
            return false;
        }
        done.set(piece);
        doneCount++;
        if (!taken.get(piece)) {
            taken.set(piece);
            takenCount++;
        }
        dirtyChunks.add(piece / chunkPieces);
        succeededOnce = true;
        failedOn.clear();
        attempts = 0;
        nextWallMicros = 0;
        reason = null;
        return true;
    }

    /** One more live task of the piece; normally the only one. */
    public void seat(int piece) {
        seats.incrementAndGet(piece);
        if (!seated.get(piece)) {
            seated.set(piece);
            seatedCount++;
            if (!taken.get(piece)) {
                taken.set(piece);
                takenCount++;
            }
        }
    }

    /** One live task less. A piece waits again only once none is left: two may be known for a moment after a takeover. */
    public void unseat(int piece) {
        if (seats.decrementAndGet(piece) <= 0) {
            seats.remove(piece);
            if (seated.get(piece)) {
                seated.clear(piece);
                seatedCount--;
                if (!done.get(piece)) {
                    taken.clear(piece);
                    takenCount--;
                }
            }
        }
    }

    public boolean isSeated(int piece) {
        return seated.get(piece);
    }

    public int seatedCount() {
        return seatedCount;
    }

    /** The next piece that is neither done nor on a machine, or -1. */
    public int nextWaiting() {
        int piece = taken.nextClearBit(0);
        return piece < spec.pieces() ? piece : -1;
    }

    public int waitingCount() {
        return spec.pieces() - takenCount;
    }

    /** One of the job's tasks has ended after it ran for so long. */
    public void ran(long micros) {
        ranCount++;
        ranMicros += micros;
        longestMicros = Math.max(longestMicros, micros);
    }

    /** How many of its tasks have been seen to run and end in this term. */
    public int ranCount() {
        return ranCount;
    }

    /** How long they ran in all. */
    public long ranMicros() {
        return ranMicros;
    }

    public long longestMicros() {
        return longestMicros;
    }

    public long nextWallMicros() {
        return nextWallMicros;
    }

    public String reason() {
        return reason;
    }

    /** True once a piece of it has completed: its description can't be the mistake. */
    public boolean succeededOnce() {
        return succeededOnce;
    }

    public Set<String> failedOn() {
        return failedOn;
    }

    /** An attempt that the job itself failed: the next one is scheduled, or the job is parked. */
    public void failAttempt(RetrySchedule schedule, long wallMicros, String why) {
        attempts++;
        nextWallMicros = schedule.nextAttemptMicros(attempts, wallMicros);
        reason = schedule.exhausted(attempts) ? "parked after " + attempts + " failed attempts: " + why
                : "attempt " + attempts + " failed: " + why;
    }

    @Override
    public String key() {
        return RunRecord.key(spec.uid());
    }

    @Override
    public long stamp() {
        return runStamp;
    }

    @Override
    public KeyWriter.Urgency urgency() {
        if (complete()) {
            return KeyWriter.Urgency.END;
        }
        return released && attempts == attemptsSent ? KeyWriter.Urgency.PROGRESS : KeyWriter.Urgency.START;
    }

    @Override
    public String absent() {
        return "withdraw/" + spec.uid();
    }

    @Override
    public Map<String, JsonNode> changes() {
        Map<String, JsonNode> changes = new LinkedHashMap<>();
        sent.clear();
        sent.or(done);
        attemptsSent = attempts;
        doneSent = complete();
        String bits = null;
        if (!doneSent) {
            if (!chunked()) {
                bits = RunRecord.encode(done);
            } else {
                for (int chunk : dirtyChunks) {
                    BitSet part = done.get(chunk * chunkPieces, Math.min(spec.pieces(), (chunk + 1) * chunkPieces));
                    changes.put(RunRecord.chunkKey(spec.uid(), chunk),
                            Json.object().put("bits", RunRecord.encode(part)));
                }
            }
        }
        dirtyChunks.clear();
        int running = seatedCount;
        String stage = doneSent ? RunRecord.DONE : running > 0 ? "running" : "queued";
        changes.put(key(), new RunRecord.Head(spec.pieces(), doneCount, running, attempts, nextWallMicros,
                stage, reason, bits).json());
        return changes;
    }

    @Override
    public void stored(long stamp) {
        runStamp = stamp;
        if (!released) {
            released = true;
            if (!run.cancelled()) {
                // Else the withdrawal was heard of before the answer to the write that stored the release.
                run.release(spec.uid());
            }
        }
        stored.or(sent);
        if (doneSent && !doneStored) {
            doneStored = true;
            run.settle(spec.uid(), true);
        }
        watcher.recordStored(this);
    }

    @Override
    public void moved(long stamp) {
        runStamp = stamp;
        // What the lost write held is not known to be stored: everything beyond the stored set goes again.
        BitSet open = (BitSet) done.clone();
        open.andNot(stored);
        open.stream().forEach(piece -> dirtyChunks.add(piece / chunkPieces));
    }

    @Override
    public void forbidden() {
        watcher.foundWithdrawn(this);
    }

    private boolean chunked() {
        return spec.pieces() > chunkPieces;
    }
}
