package io.sillreel.cluster;

import io.sillreel.pipeline.JobSpec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * An estimate of the container images in a machine's cache: the most recently used ones, up to its capacity. Guarded by
 * the lock of the {@link Cluster}.
 */
public final class ImageCache {
    /**
     * A container image, which a machine has to pull before a task can start.
     *
     * @param gb size in gigabytes
     */
    public record Image(String name, double gb) {
        public static Image of(JobSpec spec) {
            return new Image(spec.image(), spec.imageGb());
        }

        // Explicit, because linking the generated method at run time would delay a failover by milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Image image && image.name.equals(name) && image.gb == gb;
        }

        @Override
        public int hashCode() {
            return 31 * name.hashCode() + Double.hashCode(gb);
        }
    }

    private final double capacityGb;
    /** Ordered from the least to the most recently used. */
    private final Set<Image> images = new LinkedHashSet<>();

    ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    /**
     * Marks the image as the most recently used, and evicts the least recently used beyond the capacity. An image that
     * exceeds the capacity alone is ignored.
     */
    void markUsed(Image image) {
        if (image.gb() > capacityGb) {
            return;
        }
        images.remove(image);
        images.add(image);
        Deque<Image> newestFirst = new ArrayDeque<>();
        images.forEach(newestFirst::addFirst);
        double total = 0;
        for (Image cached : newestFirst) {
            total += cached.gb();
            if (total > capacityGb) {
                images.remove(cached);
            }
        }
    }

    boolean contains(Image image) {
        return images.contains(image);
    }
}
