package io.sillreel.leadership;

import io.sillreel.limits.FleetCapacity;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;

/**
 * The configuration of a leader's term.
 *
 * @param settings the settings of the deployment
 * @param operator the operators' own properties
 * @param fleetCapacity the largest fleet that the resources of the controllers allow
 */
public record TermConfiguration(Settings settings, OperatorProperties operator, FleetCapacity fleetCapacity) {}
