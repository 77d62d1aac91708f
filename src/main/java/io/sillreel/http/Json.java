package io.sillreel.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TreeTraversingParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads and writes JSON with Jackson's streaming API and tree model. There is no ObjectMapper, because data binding is
 * not used and creating a mapper took a quarter of the CPU time of a process start. Thread-safe.
 */
public final class Json {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    private Json() {}

    /** Creates a streaming parser, for messages that are too frequent to build a tree for each. */
    public static JsonParser createParser(byte[] body) throws IOException {
        return JSON_FACTORY.createParser(body);
    }

    /** Creates an empty object. */
    public static ObjectNode object() {
        return NODE_FACTORY.objectNode();
    }

    /** Creates an empty array. */
    public static ArrayNode array() {
        return NODE_FACTORY.arrayNode();
    }

    /** Serializes the node as UTF-8. */
    public static byte[] bytes(JsonNode node) {
        try (ByteArrayBuilder bytes = new ByteArrayBuilder();
                JsonGenerator out = JSON_FACTORY.createGenerator(bytes);
                JsonParser in = new TreeTraversingParser(node)) {
            in.nextToken();
            out.copyCurrentStructure(in);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses the body; returns a missing node if it is not JSON, or nested more deeply than Jackson's parser allows.
     */
    public static JsonNode parse(byte[] body) {
        try (JsonParser in = createParser(body)) {
            return readTree(in);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * Reads a single value from a parser of any format that Jackson supports.
     *
     * @return the value, or a missing node if there is none or more than one
     * @throws IOException if the input is malformed
     */
    public static JsonNode readTree(JsonParser in) throws IOException {
        if (in.nextToken() == null) {
            return MissingNode.getInstance();
        }
        JsonNode node = readValue(in);
        return in.nextToken() == null ? node : MissingNode.getInstance();
    }

    /**
     * Reads the value that begins at the current token. The containers that are not closed yet are kept in a list of
     * their own and not on the call stack, which nesting within the parser's limit could overflow.
     */
    private static JsonNode readValue(JsonParser in) throws IOException {
        JsonNode value = readScalarOrEmptyContainer(in);
        Deque<JsonNode> openContainers = new ArrayDeque<>();
        if (value.isContainerNode()) {
            openContainers.push(value);
        }
        while (!openContainers.isEmpty()) {
            if (in.nextToken().isStructEnd()) {
                openContainers.pop();
                continue;
            }
            JsonNode element = readElement(in, openContainers.peek());
            if (element.isContainerNode()) {
                openContainers.push(element);
            }
        }
        return value;
    }

    /** Reads the next element of the container; a nested container is added empty, to be filled by the caller. */
    private static JsonNode readElement(JsonParser in, JsonNode container) throws IOException {
        if (container instanceof ObjectNode object) {
            String name = in.currentName();
            in.nextToken();
            JsonNode element = readScalarOrEmptyContainer(in);
            object.set(name, element);
            return element;
        }
        JsonNode element = readScalarOrEmptyContainer(in);
        ((ArrayNode) container).add(element);
        return element;
    }

    private static JsonNode readScalarOrEmptyContainer(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> NODE_FACTORY.objectNode();
            case START_ARRAY -> NODE_FACTORY.arrayNode();
            case VALUE_STRING -> NODE_FACTORY.textNode(in.getText());
            case VALUE_NUMBER_INT ->
                switch (in.getNumberType()) {
                    case INT -> NODE_FACTORY.numberNode(in.getIntValue());
                    case LONG -> NODE_FACTORY.numberNode(in.getLongValue());
                    default -> NODE_FACTORY.numberNode(in.getBigIntegerValue());
                };
            case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(in.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODE_FACTORY.booleanNode(in.getBooleanValue());
            default -> NODE_FACTORY.nullNode();
        };
    }
}
