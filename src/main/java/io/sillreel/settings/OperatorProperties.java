package io.sillreel.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;

/**
 * The operators' settings, read from a Java properties file. All properties are optional, and durations are whole
 * milliseconds. An unknown key is an error, since a misspelt property would otherwise be ignored silently. Immutable.
 *
 * @param leaderLeaseMicros time to live of the lease that the leader key is bound to
 * @param idleTimeoutMicros time without work after which a machine is returned to the cloud
 * @param retryInitialDelayMicros first backoff after an attempt that failed because of the job
 * @param retryMaxDelayMicros longest backoff of the stored retry schedule
 * @param parkedRetryIntervalMicros interval between attempts of a parked job
 * @param maxRequestsInProgress upper bound of the adaptive limit on requests in progress
 * @param recovery recovery of writes that the state service has lost
 */
public record OperatorProperties(
        long leaderLeaseMicros,
        long idleTimeoutMicros,
        long retryInitialDelayMicros,
        long retryMaxDelayMicros,
        long parkedRetryIntervalMicros,
        int maxRequestsInProgress,
        RecoveryProperties recovery) {

    /**
     * Recovery of writes that the state service has lost.
     *
     * @param enabled true if lost writes are detected and recovered
     * @param watchDelayMicros the delay between two watches of the state service, in which changes accumulate
     */
    public record RecoveryProperties(boolean enabled, long watchDelayMicros) {}

    /** The known properties with their keys, defaults and bounds. */
    private enum Property {
        LEADER_LEASE_MILLIS("leader.lease.ms", 3_000, 1_000, 60_000),
        IDLE_TIMEOUT_MILLIS("fleet.idle.ms", 20_000, 0, 3_600_000),
        RETRY_INITIAL_MILLIS("retry.initial.ms", 2_000, 100, 3_600_000),
        RETRY_MAXIMUM_MILLIS("retry.maximum.ms", 30_000, 100, 3_600_000),
        RETRY_PARKED_MILLIS("retry.parked.ms", 60_000, 1_000, 86_400_000),
        MAX_REQUESTS("overload.max.requests", 64, 4, 10_000),
        RECOVERY_ENABLED("recovery.enabled", 0, 0, 1),
        WATCH_DELAY_MILLIS("recovery.follow.ms", 250, 20, 10_000);

        private static final long MICROS_PER_MILLI = 1_000;

        private final String key;
        private final long defaultValue;
        private final long min;
        private final long max;

        Property(String key, long defaultValue, long min, long max) {
            this.key = key;
            this.defaultValue = defaultValue;
            this.min = min;
            this.max = max;
        }

        static Set<String> keys() {
            Set<String> keys = new TreeSet<>();
            for (Property property : values()) {
                keys.add(property.key);
            }
            return keys;
        }

        long microsIn(Properties properties) {
            return valueIn(properties) * MICROS_PER_MILLI;
        }

        long valueIn(Properties properties) {
            String text = properties.getProperty(key);
            if (text == null) {
                return defaultValue;
            }
            try {
                long value = Long.parseLong(text.trim());
                if (value >= min && value <= max) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // Not a number: reported below like a number that is out of bounds.
            }
            throw new SettingsException(key, "must be a whole number from " + min + " to " + max);
        }
    }

    /** Returns the default values of all properties. */
    public static OperatorProperties defaults() {
        return of(new Properties());
    }

    /**
     * Reads a properties file.
     *
     * @throws SettingsException naming the file if it cannot be read, or the key that is unknown or out of bounds
     */
    public static OperatorProperties read(Path file) {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(file)) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException e) {
            throw new SettingsException(
                    file.toString(), "can't be read (" + e.getClass().getSimpleName() + ")");
        }
        return of(properties);
    }

    /**
     * Checks the properties and fills in defaults.
     *
     * @throws SettingsException naming the key that is unknown or out of bounds
     */
    public static OperatorProperties of(Properties properties) {
        Set<String> knownKeys = Property.keys();
        for (String key : properties.stringPropertyNames()) {
            if (!knownKeys.contains(key)) {
                throw new SettingsException(key, "is not a known property; known are " + knownKeys);
            }
        }
        return new OperatorProperties(
                Property.LEADER_LEASE_MILLIS.microsIn(properties),
                Property.IDLE_TIMEOUT_MILLIS.microsIn(properties),
                Property.RETRY_INITIAL_MILLIS.microsIn(properties),
                Property.RETRY_MAXIMUM_MILLIS.microsIn(properties),
                Property.RETRY_PARKED_MILLIS.microsIn(properties),
                (int) Property.MAX_REQUESTS.valueIn(properties),
                new RecoveryProperties(
                        Property.RECOVERY_ENABLED.valueIn(properties) == 1,
                        Property.WATCH_DELAY_MILLIS.microsIn(properties)));
    }
}
