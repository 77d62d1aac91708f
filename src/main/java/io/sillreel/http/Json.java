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

/**
 * Jackson's streams and trees, without its mapper: setting one up, with the formats of dates and the readers of classes
 * that nothing here uses, took a quarter of the processor time of a start.
 */
public final class Json {
    private static final JsonFactory STREAM = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    /** The body as a stream of tokens, for what is read too often to be made a tree of. */
    public static JsonParser parser(byte[] body) throws IOException {
        return STREAM.createParser(body);
    }

    public static ObjectNode object() {
        return NODES.objectNode();
    }

    public static ArrayNode array() {
        return NODES.arrayNode();
    }

    /** Returns the node as UTF-8 text. */
    public static byte[] bytes(JsonNode node) {
        try (ByteArrayBuilder bytes = new ByteArrayBuilder();
                JsonGenerator out = STREAM.createGenerator(bytes);
                JsonParser in = new TreeTraversingParser(node)) {
            in.nextToken();
            out.copyCurrentStructure(in);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The parsed body, or a missing node if it is not JSON. */
    public static JsonNode parse(byte[] body) {
        try (JsonParser in = parser(body)) {
            return tree(in);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * The one value that a parser of any of Jackson's formats reads, or a missing node if there is none or more than
     * one.
     */
    public static JsonNode tree(JsonParser in) throws IOException {
        if (in.nextToken() == null) {
            return MissingNode.getInstance();
        }
        JsonNode node = value(in);
        return in.nextToken() == null ? node : MissingNode.getInstance();
    }

    private static JsonNode value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
                    in.nextToken();
                    object.set(name, value(in));
                }
                yield object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (!in.nextToken().isStructEnd()) {
                    array.add(value(in));
                }
                yield array;
            }
            case VALUE_STRING -> NODES.textNode(in.getText());
            case VALUE_NUMBER_INT ->
                switch (in.getNumberType()) {
                    case INT -> NODES.numberNode(in.getIntValue());
                    case LONG -> NODES.numberNode(in.getLongValue());
                    default -> NODES.numberNode(in.getBigIntegerValue());
                };
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(in.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(in.getBooleanValue());
            default -> NODES.nullNode();
        };
    }
}
