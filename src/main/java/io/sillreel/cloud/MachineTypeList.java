package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The machine types as listed by the cloud or the state service. Keeps the document from which they were read, because
 * the cloud's response is stored unchanged, including fields that this version does not know.
 */
final class MachineTypeList {
    private final Map<String, MachineType> types;
    private final JsonNode document;

    MachineTypeList(Map<String, MachineType> types, JsonNode document) {
        this.types = types;
        this.document = document;
    }

    /** Returns the machine types by name, in the order of the list; must not be modified. */
    Map<String, MachineType> types() {
        return types;
    }

    boolean isEmpty() {
        return types.isEmpty();
    }

    /** Returns the document to store. */
    JsonNode document() {
        return document;
    }
}
