package io.sillreel.settings;

/**
 * How large values of the state service may be. Announced limits come into force at an unknown moment, but only after
 * every controller has been upgraded. Until then the previous version may have to read what is stored.
 *
 * @param presentBytes the limit by which the previous version stores
 * @param announcedBytes the limit that will hold from some moment on; at most the present one
 */
public record ValueLimits(int presentBytes, int announcedBytes) {
    /** A limit that is not going to change. */
    public static ValueLimits fixed(int bytes) {
        return new ValueLimits(bytes, bytes);
    }
}
