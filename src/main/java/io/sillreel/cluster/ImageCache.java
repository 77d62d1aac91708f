package io.sillreel.cluster;

import io.sillreel.pipeline.JobSpec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/** The images that a machine is thought to have: those that it used last, as far as its cache holds them. */
public final class ImageCache {
    /** An image that a machine has to fetch before a task can start. */
    public record Image(String name, double gb) {
        public static Image of(JobSpec spec) {
            return new Image(spec.image(), spec.imageGb());
        }

        // Written out: the compiler would leave it to be linked at run time, which costs a takeover milliseconds.
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
    /** The most recently used one last. */
    private final Set<Image> images = new LinkedHashSet<>();

    ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    /** Remembers the image as the most recently used; what the cache can't hold is thought to be gone. */
    void markUsed(Image image) {
        images.remove(image);
        images.add(image);
        Deque<Image> newestFirst = new ArrayDeque<>();
        images.forEach(newestFirst::addFirst);
        double total = 0;
        for (Image each : newestFirst) {
            total += each.gb();
            if (total > capacityGb) {
                images.remove(each);
            }
        }
    }

    boolean contains(Image image) {
        return images.contains(image);
    }
}
