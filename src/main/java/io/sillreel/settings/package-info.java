/**
 * The settings of a controller: those of the platform, a TOML file, and those of the operators, a Java properties file.
 *
 * <p>{@link io.sillreel.settings.SettingsReader} and {@link io.sillreel.settings.OperatorProperties} read and validate
 * them once at startup; a {@link io.sillreel.settings.SettingsException} names a setting that is missing or invalid.
 * The resulting values are immutable, with durations in whole microseconds.
 */
package io.sillreel.settings;
