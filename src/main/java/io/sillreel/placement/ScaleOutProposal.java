package io.sillreel.placement;

import io.sillreel.cloud.MachineType;

/**
 * Machines of one offer that should be provisioned now.
 *
 * @param isSpot true for spot machines, false for on-demand machines
 * @param count the number of machines, at least 1
 */
public record ScaleOutProposal(MachineType type, String zone, boolean isSpot, int count) {}
