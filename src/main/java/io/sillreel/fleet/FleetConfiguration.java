package io.sillreel.fleet;

import io.sillreel.cloud.MachineType;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import java.util.Collection;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The limits within which the fleet is sized.
 *
 * @param settings the settings of the deployment
 * @param operator the properties that the operators may change
 * @param fleetCapacity the largest fleet that the controllers support
 * @param machineTypes the current machine types of the cloud by name
 */
public record FleetConfiguration(
        Settings settings,
        OperatorProperties operator,
        FleetCapacity fleetCapacity,
        Supplier<Map<String, MachineType>> machineTypes) {

    Collection<MachineType> allMachineTypes() {
        return machineTypes.get().values();
    }

    /** The machine type of the name, or null if the cloud does not offer it. */
    MachineType machineType(String name) {
        return machineTypes.get().get(name);
    }
}
