package io.sillreel.cluster;

import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A rental under its unique name: stored before the cloud is asked, and again with its machines before any of them gets
 * a task. The stored rentals bound where tasks can be.
 */
public final class ScaleOutRequest implements PendingWrite {
    public static final String PREFIX = "hire/";
    private static final int MACHINE_BYTES = 40;
    private static final int REST_BYTES = 300;

    private final String name;
    private final String machineType;
    private final String zone;
    private final boolean isSpot;
    private final int machineCount;
    private final Set<String> machines = new LinkedHashSet<>();
    private final Set<String> storedUpMachines = new LinkedHashSet<>();
    private final Set<String> sentUpMachines = new LinkedHashSet<>();
    private final Set<String> upMachines = new LinkedHashSet<>();
    private final List<ScaleOutRequest> overflowRequests = new ArrayList<>();
    private Runnable onStored = () -> {};
    private long revision;
    private boolean isAnswered;
    private boolean isDiscarded;
    private boolean mayHaveExecuted;
    private long lastSentMicros;

    /** Creates a rental that the cloud has not been asked for yet. */
    public ScaleOutRequest(String name, String machineType, String zone, boolean spot, int count) {
        this.name = name;
        this.machineType = machineType;
        this.zone = zone;
        this.isSpot = spot;
        this.machineCount = count;
    }

    /**
     * Takes over what is stored of the rental.
     *
     * @param answered true if the cloud has said which machines it rented
     */
    void restore(long storedRevision, boolean answered, Collection<String> names, Collection<String> upNames) {
        revision = storedRevision;
        isAnswered = answered;
        mayHaveExecuted = true;
        machines.addAll(names);
        upMachines.addAll(upNames);
        storedUpMachines.addAll(upNames);
    }

    /** How many machines fit into a value of that size, each of them named twice. */
    public static int maxMachines(int valueBytes) {
        return Math.max(1, (valueBytes - REST_BYTES) / MACHINE_BYTES);
    }

    /**
     * Cuts off what is beyond so many machines, into rentals of their own that are stored before this one is written
     * again: it may have been stored when values could be larger.
     */
    public List<ScaleOutRequest> split(int most, Consumer<ScaleOutRequest> enqueue) {
        List<String> all = new ArrayList<>(machines);
        for (int from = most; from < all.size(); from += most) {
            List<String> part = all.subList(from, Math.min(all.size(), from + most));
            ScaleOutRequest scaleOutRequest =
                    new ScaleOutRequest(name + "." + from / most, machineType, zone, isSpot, part.size());
            scaleOutRequest.recordAnswer(part);
            part.stream().filter(upMachines::remove).forEach(scaleOutRequest.upMachines::add);
            part.stream().filter(storedUpMachines::remove).forEach(scaleOutRequest.storedUpMachines::add);
            part.forEach(machines::remove);
            scaleOutRequest.whenStored(() -> enqueue.accept(this));
            overflowRequests.add(scaleOutRequest);
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

    public int machineCount() {
        return machineCount;
    }

    public Set<String> machines() {
        return machines;
    }

    /** The machines that have reported, whether that is stored or not. */
    Set<String> upMachines() {
        return upMachines;
    }

    /**
     * True once the machine stands as up in the stored rental, so that a successor knows to look there. Machines that
     * have not reported yet don't, so that those that boot or never come up hold up no takeover.
     */
    public boolean isStoredAsUp(String machine) {
        return storedUpMachines.contains(machine);
    }

    /** The machine has reported; true if that is yet to be stored. */
    public boolean markUp(String machine) {
        return machines.contains(machine) && upMachines.add(machine);
    }

    /**
     * Nothing lives on the machine any more; true if that is yet to be stored. Until it has reported again, and stands
     * as up again, it gets no task and holds up no takeover: a third of the fleet may be silent when the leader
     * crashes.
     */
    public boolean markDown(String machine) {
        storedUpMachines.remove(machine);
        return upMachines.remove(machine);
    }

    /** True once the cloud has said which machines it rented. */
    public boolean isAnswered() {
        return isAnswered;
    }

    public void recordAnswer(Iterable<String> names) {
        isAnswered = true;
        names.forEach(machines::add);
    }

    /** The machine no longer exists and is not part of the rental any more. */
    public void removeMachine(String machine) {
        machines.remove(machine);
        upMachines.remove(machine);
        isDiscarded = isAnswered && machines.isEmpty();
    }

    /** The cloud rents nothing under this name; the name is not used again. */
    public void discard() {
        isDiscarded = true;
    }

    public boolean isDiscarded() {
        return isDiscarded;
    }

    public boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    public void markPossiblyExecuted() {
        mayHaveExecuted = true;
    }

    public long lastSentMicros() {
        return lastSentMicros;
    }

    public void recordSent(long micros) {
        lastSentMicros = micros;
    }

    public void whenStored(Runnable then) {
        onStored = then;
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
        // From the moment it is sent, what the write lacks may be missing from the store.
        storedUpMachines.retainAll(sentUpMachines);
        return isDiscarded ? KeyChange.REMOVAL : KeyChange.put(ScaleOutRequestCodec.encode(this));
    }

    @Override
    public void onStored(long newRevision) {
        revision = isDiscarded ? 0 : newRevision;
        storedUpMachines.clear();
        storedUpMachines.addAll(sentUpMachines);
        Runnable then = onStored;
        onStored = () -> {};
        then.run();
    }

    @Override
    public void onConflict(long newRevision) {
        revision = newRevision;
    }
}
