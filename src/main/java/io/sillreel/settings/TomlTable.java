package io.sillreel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Typed access to the fields of a TOML table. Each method throws {@link SettingsException} with the qualified name of
 * the field if the field is missing or has the wrong type.
 *
 * @param path qualified name of the table; empty for the root table
 */
record TomlTable(String path, JsonNode node) {
    static final double MICROS_PER_SECOND = 1_000_000;

    private static final int MAX_PORT = 65_535;

    /** Returns the name of a field prefixed with the path of this table, as used in error messages. */
    String qualifiedName(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private JsonNode required(String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode() || value.isNull()) {
            throw new SettingsException(qualifiedName(field), "is missing");
        }
        return value;
    }

    /** Reads a required table. */
    TomlTable table(String field) {
        JsonNode value = required(field);
        if (!value.isObject()) {
            throw new SettingsException(qualifiedName(field), "is not a table");
        }
        return new TomlTable(qualifiedName(field), value);
    }

    /** Reads an optional table; returns an empty one if it is absent. */
    TomlTable tableOrEmpty(String field) {
        return node.hasNonNull(field) ? table(field) : new TomlTable(qualifiedName(field), MissingNode.getInstance());
    }

    /** Reads an optional list of tables; returns an empty one if it is absent. */
    List<TomlTable> tables(String field) {
        JsonNode value = node.path(field);
        List<TomlTable> tables = new ArrayList<>();
        if (value.isMissingNode() || value.isNull()) {
            return tables;
        }
        if (!value.isArray()) {
            throw new SettingsException(qualifiedName(field), "is not a list of tables");
        }
        for (JsonNode element : value) {
            tables.add(new TomlTable(qualifiedName(field) + "[" + tables.size() + "]", element));
        }
        return tables;
    }

    /** Reads a required list of strings. */
    List<String> strings(String field) {
        JsonNode value = required(field);
        if (!value.isArray()) {
            throw new SettingsException(qualifiedName(field), "is not a list");
        }
        List<String> strings = new ArrayList<>();
        value.forEach(element -> strings.add(element.asText()));
        return List.copyOf(strings);
    }

    /** Reads a required string that is not blank. */
    String string(String field) {
        JsonNode value = required(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new SettingsException(qualifiedName(field), "is not a text");
        }
        return value.asText();
    }

    /** Reads an optional string; returns the default if it is absent. */
    String stringOr(String field, String defaultValue) {
        return node.path(field).asText(defaultValue);
    }

    /** Reads a required address of the form host:port. */
    String hostPort(String field) {
        String value = string(field);
        int colon = value.lastIndexOf(':');
        try {
            int port = colon < 1 ? -1 : Integer.parseInt(value.substring(colon + 1));
            if (port >= 0 && port <= MAX_PORT) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Not a port number: reported below like every other malformed address.
        }
        throw new SettingsException(qualifiedName(field), "is not host:port");
    }

    /** Reads a required finite number that is not negative. */
    double nonNegative(String field) {
        JsonNode value = required(field);
        if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
            throw new SettingsException(
                    qualifiedName(field), "is " + value.asText() + ", and a number of at least 0 is needed");
        }
        return value.asDouble();
    }

    /** Reads an optional finite number that is not negative; returns the default if it is absent. */
    double nonNegativeOr(String field, double defaultValue) {
        return node.hasNonNull(field) ? nonNegative(field) : defaultValue;
    }

    /** Reads a required finite number above 0. */
    double positive(String field) {
        double value = nonNegative(field);
        if (value <= 0) {
            throw new SettingsException(qualifiedName(field), "is " + value + ", and more than 0 is needed");
        }
        return value;
    }

    /** Reads a required finite number that is not below the minimum. */
    double atLeast(String field, double min) {
        double value = nonNegative(field);
        if (value < min) {
            throw new SettingsException(qualifiedName(field), "is " + value + ", and at least " + min + " is needed");
        }
        return value;
    }

    /** Reads an optional finite number that is not below the minimum; returns the default if it is absent. */
    double atLeastOr(String field, double min, double defaultValue) {
        return node.hasNonNull(field) ? atLeast(field, min) : defaultValue;
    }

    /** Reads a required duration in seconds, which must be above 0, and returns it in microseconds. */
    long durationMicros(String field) {
        return Math.round(positive(field) * MICROS_PER_SECOND);
    }
}
