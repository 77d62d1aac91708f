package io.sillreel.settings;

/**
 * Limits on the size of a value in the state service. An announced limit takes effect at an unknown time, but only
 * after every controller has been upgraded; until then, the previous version may have to read the stored values.
 * Immutable.
 *
 * @param currentBytes the limit that the previous version applies to the values it stores
 * @param announcedBytes the limit that will take effect; at most the current limit
 */
public record ValueLimits(int currentBytes, int announcedBytes) {
    /** Returns limits for which no change is announced. */
    public static ValueLimits fixed(int bytes) {
        return new ValueLimits(bytes, bytes);
    }
}
