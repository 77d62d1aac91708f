package io.sillreel.settings;

/** A setting that is missing or impossible; the message is one line naming field and reason. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param field the qualified name of the setting, or the file
     * @param reason what is wrong with it, and what is needed
     */
    public SettingsException(String field, String reason) {
        super(field + ": " + reason);
    }
}
