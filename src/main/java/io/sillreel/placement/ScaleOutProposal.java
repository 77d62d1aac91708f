package io.sillreel.placement;

import io.sillreel.cloud.MachineType;

/** A rental worth asking the cloud for. */
public record ScaleOutProposal(MachineType type, String zone, boolean isSpot, int count) {}
