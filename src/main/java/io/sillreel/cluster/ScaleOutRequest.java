package io.sillreel.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.WriteQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A rental under its unique name: stored before the cloud is asked, and again with its machines before any of them gets
 * a task. The stored rentals bound where tasks can be.
 */
public final class ScaleOutRequest implements WriteQueue.PendingWrite {
    public static final String PREFIX = "hire/";
    private static final int MACHINE_BYTES = 40;
    private static final int REST_BYTES = 300;

    private final String name;
    private final String build;
    private final String zone;
    private final boolean spot;
    private final int count;
    private final Set<String> machines = new LinkedHashSet<>();
    private final Set<String> storedMachines = new LinkedHashSet<>();
    private final Set<String> sentMachines = new LinkedHashSet<>();
    private final Set<String> up = new LinkedHashSet<>();
    private final List<ScaleOutRequest> splitOff = new ArrayList<>();
    private Runnable onStored = () -> {};
    private long revision;
    private boolean answered;
    private boolean dropped;
    private boolean maybeExecuted;
    private long askedMicros;

    /** Creates a rental that the cloud has not been asked for yet. */
    public ScaleOutRequest(String name, String build, String zone, boolean spot, int count) {
        this.name = name;
        this.build = build;
        this.zone = zone;
        this.spot = spot;
        this.count = count;
    }

    /** Reads a stored rental. */
    public static ScaleOutRequest of(String key, JsonNode value, long revision) {
        ScaleOutRequest rental = new ScaleOutRequest(
                key.substring(PREFIX.length()),
                value.path("build").asText(),
                value.path("yard").asText(),
                value.path("spot").asBoolean(),
                value.path("count").asInt());
        rental.revision = revision;
        rental.answered = value.has("machines");
        rental.maybeExecuted = true;
        value.path("machines").forEach(machine -> rental.machines.add(machine.asText()));
        if (value.has("up")) {
            value.path("up").forEach(machine -> rental.up.add(machine.asText()));
        } else {
            rental.up.addAll(rental.machines);
        }
        rental.storedMachines.addAll(rental.up);
        return rental;
    }

    /** How many machines fit into a value of that size, each of them named twice. */
    public static int mostMachines(int valueBytes) {
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
            ScaleOutRequest rental = new ScaleOutRequest(name + "." + from / most, build, zone, spot, part.size());
            rental.answered(part);
            part.stream().filter(up::remove).forEach(rental.up::add);
            part.stream().filter(storedMachines::remove).forEach(rental.storedMachines::add);
            part.forEach(machines::remove);
            rental.onStored(() -> enqueue.accept(this));
            splitOff.add(rental);
        }
        return List.copyOf(splitOff);
    }

    @Override
    public List<WriteQueue.PendingWrite> prerequisites() {
        splitOff.removeIf(rental -> rental.revision > 0 || rental.dropped);
        return List.copyOf(splitOff);
    }

    public String name() {
        return name;
    }

    public String build() {
        return build;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public int count() {
        return count;
    }

    public Set<String> machines() {
        return machines;
    }

    /**
     * True once the machine stands as up in the stored rental, so that a successor knows to look there. Machines that
     * have not reported yet don't, so that those that boot or never come up hold up no takeover.
     */
    public boolean mayHold(String machine) {
        return storedMachines.contains(machine);
    }

    /** The machine has reported; true if that is yet to be stored. */
    public boolean cameUp(String machine) {
        return machines.contains(machine) && up.add(machine);
    }

    /**
     * Nothing lives on the machine any more; true if that is yet to be stored. Until it has reported again, and stands
     * as up again, it gets no task and holds up no takeover: a third of the fleet may be silent when the leader
     * crashes.
     */
    public boolean wentDown(String machine) {
        storedMachines.remove(machine);
        return up.remove(machine);
    }

    /** True once the cloud has said which machines it rented. */
    public boolean answered() {
        return answered;
    }

    public void answered(Iterable<String> names) {
        answered = true;
        names.forEach(machines::add);
    }

    /** The machine no longer exists and is not part of the rental any more. */
    public void gone(String machine) {
        machines.remove(machine);
        up.remove(machine);
        dropped = answered && machines.isEmpty();
    }

    /** The cloud rents nothing under this name; the name is not used again. */
    public void drop() {
        dropped = true;
    }

    public boolean dropped() {
        return dropped;
    }

    public boolean maybeExecuted() {
        return maybeExecuted;
    }

    public void maybeExecuted(boolean maybe) {
        maybeExecuted |= maybe;
    }

    public long askedMicros() {
        return askedMicros;
    }

    public void askedMicros(long micros) {
        askedMicros = micros;
    }

    public void onStored(Runnable then) {
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
    public Map<String, JsonNode> changes() {
        Map<String, JsonNode> changes = new HashMap<>();
        sentMachines.clear();
        sentMachines.addAll(up);
        // From the moment it is sent, what the write lacks may be missing from the store.
        storedMachines.retainAll(sentMachines);
        changes.put(key(), dropped ? null : json());
        return changes;
    }

    private ObjectNode json() {
        ObjectNode value = Json.object()
                .put("build", build)
                .put("yard", zone)
                .put("spot", spot)
                .put("count", count);
        if (answered) {
            ArrayNode names = Json.array();
            machines.forEach(names::add);
            value.set("machines", names);
            ArrayNode reporting = Json.array();
            up.forEach(reporting::add);
            value.set("up", reporting);
        }
        return value;
    }

    @Override
    public void onStored(long newRevision) {
        revision = dropped ? 0 : newRevision;
        storedMachines.clear();
        storedMachines.addAll(sentMachines);
        Runnable then = onStored;
        onStored = () -> {};
        then.run();
    }

    @Override
    public void onConflict(long newRevision) {
        revision = newRevision;
    }
}
