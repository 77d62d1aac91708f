package io.sillreel.settings;

/**
 * The size of values of the state service. Announced limits come into force at an unknown moment, but only after every
 * controller has been upgraded; until then the previous version may have to read what is stored. Immutable.
 *
 * @param currentBytes the limit by which the previous version stores
 * @param announcedBytes the limit that holds from some moment on; at most the present one
 */
public record ValueLimits(int currentBytes, int announcedBytes) {
    /** Returns a limit for which no change is announced. */
    public static ValueLimits fixed(int bytes) {
        return new ValueLimits(bytes, bytes);
    }
}
