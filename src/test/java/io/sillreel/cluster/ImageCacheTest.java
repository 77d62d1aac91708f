package io.sillreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.cluster.ImageCache.Image;
import org.junit.jupiter.api.Test;

class ImageCacheTest {
    /** Guards the images of other jobs against one that no cache can hold. */
    @Test
    void imageLargerThanTheCacheEvictsNoOther() {
        ImageCache cache = new ImageCache(10);
        Image small = new Image("small", 4);
        Image huge = new Image("huge", 1e12);
        cache.markUsed(small);
        cache.markUsed(huge);
        assertThat(cache.contains(small)).isTrue();
        assertThat(cache.contains(huge)).isFalse();
    }
}
