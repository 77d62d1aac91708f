package io.sillreel.cloud;

import java.util.List;

/**
 * A machine type that the cloud offers. The resources are those of an empty machine.
 *
 * @param cpus processors
 * @param gpus accelerator cards
 * @param ramGb memory in gigabytes
 * @param bootMicros how long a machine usually takes from the request to its first heartbeat, in microseconds
 * @param zones names of the zones in which the type is offered
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double ramGb,
        ImageStorage imageStorage,
        Pricing pricing,
        long bootMicros,
        List<String> zones) {

    /**
     * How a machine fetches and keeps the images of its tasks.
     *
     * @param cacheGb size of the image cache in gigabytes
     * @param pullGbPerSecond rate at which images are fetched, in gigabytes per second
     */
    public record ImageStorage(double cacheGb, double pullGbPerSecond) {}

    /** Price of an on-demand and nominal price of a spot machine, per hour. */
    public record Pricing(double onDemand, double spot) {}

    /** Returns the size of the image cache in gigabytes. */
    public double cacheGb() {
        return imageStorage.cacheGb();
    }

    /** Returns the rate at which images are fetched, in gigabytes per second. */
    public double pullGbPerSecond() {
        return imageStorage.pullGbPerSecond();
    }

    /** Returns the price per hour of a spot machine, or else of an on-demand machine. */
    public double priceOf(boolean isSpot) {
        return isSpot ? pricing.spot() : pricing.onDemand();
    }
}
