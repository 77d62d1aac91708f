package io.sillreel.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;

/**
 * The operators' own settings: Java properties, all optional, durations in whole milliseconds. A key that isn't known
 * is an error, since a misspelt one would otherwise be believed to work.
 *
 * @param leaderLeaseMicros time to live of the lease that the leader key is bound to
 * @param idleTimeoutMicros how long a machine may be without work before it is returned
 * @param retryInitialDelayMicros first backoff after an attempt that the job caused
 * @param retryMaxDelayMicros longest backoff of the stored schedule
 * @param parkedRetryIntervalMicros interval at which a parked job is tried again
 * @param maxRequestsInProgress upper bound of the adaptive limit on requests in progress
 * @param recovery what is done about a state service that has lost writes
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
     * What is done about a state service that has lost writes.
     *
     * @param enabled false if nothing is
     * @param followMicros how long changes gather before a controller asks for them
     */
    public record RecoveryProperties(boolean enabled, long followMicros) {}

    private static final Map<String, Long> DEFAULTS = new TreeMap<>(Map.of(
            "leader.lease.ms", 3_000L,
            "fleet.idle.ms", 20_000L,
            "retry.initial.ms", 2_000L,
            "retry.maximum.ms", 30_000L,
            "retry.parked.ms", 60_000L,
            "overload.max.requests", 64L,
            "recovery.enabled", 0L,
            "recovery.follow.ms", 250L));

    public static OperatorProperties defaults() {
        return of(new Properties());
    }

    /**
     * Reads a properties file.
     *
     * @throws SettingsException naming the key that is unknown or impossible
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
     * @throws SettingsException naming the key that is unknown or impossible
     */
    public static OperatorProperties of(Properties properties) {
        for (String key : properties.stringPropertyNames()) {
            if (!DEFAULTS.containsKey(key)) {
                throw new SettingsException(key, "is not a known property; known are " + DEFAULTS.keySet());
            }
        }
        return new OperatorProperties(
                millis(properties, "leader.lease.ms", 1_000, 60_000),
                millis(properties, "fleet.idle.ms", 0, 3_600_000),
                millis(properties, "retry.initial.ms", 100, 3_600_000),
                millis(properties, "retry.maximum.ms", 100, 3_600_000),
                millis(properties, "retry.parked.ms", 1_000, 86_400_000),
                (int) whole(properties, "overload.max.requests", 4, 10_000),
                new RecoveryProperties(
                        whole(properties, "recovery.enabled", 0, 1) == 1,
                        millis(properties, "recovery.follow.ms", 20, 10_000)));
    }

    private static long millis(Properties properties, String key, long least, long most) {
        return whole(properties, key, least, most) * 1_000;
    }

    private static long whole(Properties properties, String key, long least, long most) {
        String text = properties.getProperty(key);
        if (text == null) {
            return DEFAULTS.get(key);
        }
        try {
            long value = Long.parseLong(text.trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // falls through to the one message
        }
        throw new SettingsException(key, "must be a whole number from " + least + " to " + most);
    }
}
