package io.sillreel.cluster;

import io.sillreel.statestore.ConflictResolution;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A request for machines of one type in one zone. It is stored under its unique name before it is sent to the cloud,
 * and again with its machines before any of them is given a task. The name makes the request idempotent, and the stored
 * requests tell the next leader which machines may hold tasks. Guarded by the lock of the {@link Cluster}.
 */
public final class ScaleOutRequest implements PendingWrite {
    /** The prefix of all keys of scale-out requests. */
    public static final String PREFIX = "hire/";
    /** Upper bound of the stored size of a machine that is in both lists, that of all machines and that of up ones. */
    private static final int MACHINE_BYTES = 40;
    /** Upper bound of the stored size of all other fields. */
    private static final int FIXED_BYTES = 300;

    private final String name;
    private final String machineType;
    private final String zone;
    private final boolean isSpot;
    private final int machineCount;
    private final Set<String> machines = new LinkedHashSet<>();
    /** The machines that are known to be stored as up. */
    private final Set<String> storedUpMachines = new LinkedHashSet<>();
    /** The machines that the pending write stores as up. */
    private final Set<String> sentUpMachines = new LinkedHashSet<>();

    private final Set<String> upMachines = new LinkedHashSet<>();
    private final List<ScaleOutRequest> overflowRequests = new ArrayList<>();
    private Runnable onStored = () -> {};
    private long revision;
    private boolean isAnswered;
    private boolean isDiscarded;
    private boolean mayHaveExecuted;
    private long lastSentMicros;

    /** Creates a request that is neither stored nor sent yet. */
    public ScaleOutRequest(String name, String machineType, String zone, boolean spot, int count) {
        this.name = name;
        this.machineType = machineType;
        this.zone = zone;
        this.isSpot = spot;
        this.machineCount = count;
    }

    /**
     * Restores the state that an earlier term has stored. The cloud may have executed the request.
     *
     * @param answered true if the cloud has answered with the machines that it provides
     */
    void restore(long storedRevision, boolean answered, Collection<String> names, Collection<String> upNames) {
        revision = storedRevision;
        isAnswered = answered;
        mayHaveExecuted = true;
        machines.addAll(names);
        upMachines.addAll(upNames);
        storedUpMachines.addAll(upNames);
    }

    /** Returns how many machines fit into a stored value of the given size, but at least one. */
    public static int maxMachines(int valueBytes) {
        return Math.max(1, (valueBytes - FIXED_BYTES) / MACHINE_BYTES);
    }

    /**
     * Moves the machines beyond the given number to overflow requests, which have to be stored before this request is
     * written again. Needed if the request was stored when larger values were allowed.
     *
     * @param enqueue queues this request for writing; called each time that an overflow request is stored
     * @return the overflow requests that are not stored yet
     */
    public List<ScaleOutRequest> split(int maxMachines, Consumer<ScaleOutRequest> enqueue) {
        List<String> all = new ArrayList<>(machines);
        for (int from = maxMachines; from < all.size(); from += maxMachines) {
            List<String> chunk = all.subList(from, Math.min(all.size(), from + maxMachines));
            ScaleOutRequest overflow =
                    new ScaleOutRequest(name + "." + from / maxMachines, machineType, zone, isSpot, chunk.size());
            overflow.recordAnswer(chunk);
            chunk.stream().filter(upMachines::remove).forEach(overflow.upMachines::add);
            chunk.stream().filter(storedUpMachines::remove).forEach(overflow.storedUpMachines::add);
            chunk.forEach(machines::remove);
            overflow.whenStored(() -> enqueue.accept(this));
            overflowRequests.add(overflow);
        }
        return List.copyOf(overflowRequests);
    }

    @Override
    public List<PendingWrite> prerequisites() {
        overflowRequests.removeIf(scaleOutRequest -> scaleOutRequest.revision > 0 || scaleOutRequest.isDiscarded);
        return List.copyOf(overflowRequests);
    }

    public String name() {
        return name;
    }

    public String machineType() {
        return machineType;
    }

    public String zone() {
        return zone;
    }

    public boolean isSpot() {
        return isSpot;
    }

    /** Returns the number of requested machines. */
    public int machineCount() {
        return machineCount;
    }

    /** Returns a view of the provided machines that still exist; empty until the cloud has answered. */
    public Set<String> machines() {
        return machines;
    }

    /** Returns a view of the machines that have sent a heartbeat, whether they are stored as up or not. */
    Set<String> upMachines() {
        return upMachines;
    }

    /**
     * True if the machine is known to be stored as up, so that the next leader waits for its heartbeat. Machines
     * without a heartbeat are not stored as up, so that those that still boot or never come up do not delay a failover.
     */
    public boolean isStoredAsUp(String machine) {
        return storedUpMachines.contains(machine);
    }

    /** Records a heartbeat of the machine. Returns true if the request has to be stored again. */
    public boolean markUp(String machine) {
        return machines.contains(machine) && upMachines.add(machine);
    }

    /**
     * Records that no task is live on the machine any more. Returns true if the request has to be stored again. Until
     * the machine is stored as up again, it gets no tasks and does not delay a failover, since a third of the fleet may
     * be silent then.
     */
    public boolean markDown(String machine) {
        storedUpMachines.remove(machine);
        return upMachines.remove(machine);
    }

    /** True once the cloud has answered with the machines that it provides. */
    public boolean isAnswered() {
        return isAnswered;
    }

    /** Records the names of the machines that the cloud provides. */
    public void recordAnswer(Iterable<String> names) {
        isAnswered = true;
        names.forEach(machines::add);
    }

    /** Removes a machine that no longer exists. A request without machines is discarded. */
    public void removeMachine(String machine) {
        machines.remove(machine);
        upMachines.remove(machine);
        isDiscarded = isAnswered && machines.isEmpty();
    }

    /** Discards the request: the cloud provides no machines under its name, which is not used again. */
    public void discard() {
        isDiscarded = true;
    }

    /** True if the request is no longer needed; the next write removes its key. */
    public boolean isDiscarded() {
        return isDiscarded;
    }

    /** True if the cloud may have executed the request although no answer has arrived. */
    public boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Records that the cloud may have executed the request, or may still execute it. */
    public void markPossiblyExecuted() {
        mayHaveExecuted = true;
    }

    /** Returns when the request was last sent to the cloud, in microseconds of the event loop, 0 if never. */
    public long lastSentMicros() {
        return lastSentMicros;
    }

    /** Records when the request was sent to the cloud, in microseconds of the event loop. */
    public void recordSent(long micros) {
        lastSentMicros = micros;
    }

    /** Sets an action that runs once, when the next write is stored. */
    public void whenStored(Runnable action) {
        onStored = action;
    }

    @Override
    public String key() {
        return PREFIX + name;
    }

    @Override
    public long revision() {
        return revision;
    }

    @Override
    public KeyChange change() {
        sentUpMachines.clear();
        sentUpMachines.addAll(upMachines);
        // From now on, machines that are not part of this write may no longer be stored as up.
        storedUpMachines.retainAll(sentUpMachines);
        return isDiscarded ? KeyChange.REMOVAL : KeyChange.put(ScaleOutRequestCodec.encode(this));
    }

    @Override
    public void onStored(long newRevision) {
        revision = isDiscarded ? 0 : newRevision;
        storedUpMachines.clear();
        storedUpMachines.addAll(sentUpMachines);
        Runnable action = onStored;
        onStored = () -> {};
        action.run();
    }

    /** Accepts any stored value: only the term that named the request, or inherited it, ever writes its key. */
    @Override
    public ConflictResolution onConflict(Optional<StoredEntry> stored) {
        revision = stored.map(StoredEntry::revision).orElse(0L);
        return ConflictResolution.RETRY;
    }
}
