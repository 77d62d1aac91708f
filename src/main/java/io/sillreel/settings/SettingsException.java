package io.sillreel.settings;

/** Thrown if a setting is missing or invalid; the message is a single line with the field and the reason. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param field the qualified name of the setting, or the file
     * @param reason why the setting is rejected, and which values are valid
     */
    public SettingsException(String field, String reason) {
        super(field + ": " + reason);
    }
}
