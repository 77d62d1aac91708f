package io.sillreel.cloud;

import java.util.List;

/**
 * A machine type that the cloud offers. The resources are those of an idle machine.
 *
 * @param cpus processors
 * @param gpus accelerator cards
 * @param ramGb memory in gigabytes
 * @param bootMicros usual time from the request for a machine to its first heartbeat, in microseconds
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
     * How a machine pulls and caches the images of its tasks.
     *
     * @param cacheGb size of the image cache in gigabytes
     * @param pullGbPerSecond rate at which images are pulled, in gigabytes per second
     */
    public record ImageStorage(double cacheGb, double pullGbPerSecond) {}

    /** Hourly prices: of an on-demand machine, and nominal of a spot machine. */
    public record Pricing(double onDemand, double spot) {}

    /** Returns the size of the image cache in gigabytes. */
    public double cacheGb() {
        return imageStorage.cacheGb();
    }

    /** Returns the rate at which images are pulled, in gigabytes per second. */
    public double pullGbPerSecond() {
        return imageStorage.pullGbPerSecond();
    }

    /** Returns the hourly price of a spot or an on-demand machine. */
    public double priceOf(boolean isSpot) {
        return isSpot ? pricing.spot() : pricing.onDemand();
    }
}
