/**
 * The settings of a controller: those of the platform, a TOML file, and those of the operators, a file of properties.
 *
 * <p>{@link io.sillreel.settings.SettingsReader} and {@link io.sillreel.settings.OperatorProperties} read and check
 * them once, at the start; a {@link io.sillreel.settings.SettingsException} names what is missing or out of bounds.
 * After that they are immutable values, with durations in whole microseconds.
 */
package io.sillreel.settings;
