package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Machines with the same capacity profile, ordered by name, with an index by image. The index of an image is built on
 * first use and maintained afterwards.
 */
final class MachineGroup {
    private final CapacityProfile profile;
    private final MachineType type;
    private final SortedMap<String, FreeCapacity> machines = new TreeMap<>();
    private final Map<Image, SortedMap<String, FreeCapacity>> machinesByImage = new HashMap<>();

    MachineGroup(CapacityProfile profile, MachineType type) {
        this.profile = profile;
        this.type = type;
    }

    CapacityProfile profile() {
        return profile;
    }

    MachineType type() {
        return type;
    }

    boolean isEmpty() {
        return machines.isEmpty();
    }

    /** Returns all machines of the group in the order of their names; not to be modified. */
    SortedMap<String, FreeCapacity> machines() {
        return machines;
    }

    /** Returns the machines that have the image in the order of their names; not to be modified. */
    SortedMap<String, FreeCapacity> machinesWithImage(Image image) {
        return machinesByImage.computeIfAbsent(image, missing -> {
            SortedMap<String, FreeCapacity> withImage = new TreeMap<>();
            for (FreeCapacity capacity : machines.values()) {
                addIfHasImage(missing, withImage, capacity);
            }
            return withImage;
        });
    }

    void add(FreeCapacity capacity) {
        machines.put(capacity.machine().name(), capacity);
        machinesByImage.forEach((image, withImage) -> addIfHasImage(image, withImage, capacity));
    }

    void remove(FreeCapacity capacity) {
        String name = capacity.machine().name();
        machines.remove(name);
        for (SortedMap<String, FreeCapacity> withImage : machinesByImage.values()) {
            withImage.remove(name);
        }
    }

    private static void addIfHasImage(Image image, Map<String, FreeCapacity> withImage, FreeCapacity capacity) {
        if (capacity.hasImage(image)) {
            withImage.put(capacity.machine().name(), capacity);
        }
    }
}
