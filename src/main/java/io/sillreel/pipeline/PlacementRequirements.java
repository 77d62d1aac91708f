package io.sillreel.pipeline;

import java.util.List;

/**
 * Placement constraints of the tasks of a job.
 *
 * @param machineTypes names of the allowed machine types; null allows any, an empty list none
 * @param zone the only allowed zone, or null for any
 * @param zoneAffinity true if all running tasks have to be in one zone
 * @param zoneAntiAffinity true if at most half of the tasks, rounded up, may be in the same zone
 * @param spotAllowed true if tasks may run on spot instances
 */
public record PlacementRequirements(
        List<String> machineTypes, String zone, boolean zoneAffinity, boolean zoneAntiAffinity, boolean spotAllowed) {

    /** True if tasks may run on machines of the named type. */
    public boolean allowsMachineType(String machineType) {
        return machineTypes == null || machineTypes.contains(machineType);
    }

    /** True if tasks may run in the named zone. */
    public boolean allowsZone(String name) {
        return zone == null || zone.equals(name);
    }

    /** Returns a copy with other machine types; null allows any. */
    PlacementRequirements withMachineTypes(List<String> otherMachineTypes) {
        return new PlacementRequirements(otherMachineTypes, zone, zoneAffinity, zoneAntiAffinity, spotAllowed);
    }
}
