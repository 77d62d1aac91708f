package io.sillreel.golden;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.agent.Heartbeat;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Golden samples of what is stored and sent, kept under {@code src/test/resources/golden}. They pin the wire and
 * storage formats, so no sample depends on the name of a Java type, method or constant.
 */
public final class GoldenSamples {
    private static final String TITLE_PREFIX = "# ";
    private static final String INPUT_PREFIX = "< ";

    private GoldenSamples() {}

    /** A conversion that may fail with a checked exception. */
    @FunctionalInterface
    public interface Conversion {
        String apply(String input) throws Exception;
    }

    /** Asserts that the text equals the sample file byte for byte. */
    public static void assertMatches(String file, String actual) {
        assertThat(actual).as("golden sample %s", file).isEqualTo(read(file));
    }

    /**
     * Asserts that each input of the file, a line that begins with {@code <}, is converted to the lines that follow it.
     * Lines that begin with {@code #} name the samples.
     */
    public static void assertConverts(String file, Conversion conversion) throws Exception {
        StringBuilder actual = new StringBuilder();
        for (String line : read(file).split("\n")) {
            if (line.startsWith(TITLE_PREFIX)) {
                actual.append(line).append('\n');
            } else if (line.startsWith(INPUT_PREFIX)) {
                String converted = conversion.apply(line.substring(INPUT_PREFIX.length()));
                actual.append(line).append('\n').append(converted).append('\n');
            }
        }
        assertThat(actual.toString()).as("number of samples").contains(INPUT_PREFIX);
        assertMatches(file, actual.toString());
    }

    /** Reads a sample file as text. */
    public static String read(String file) {
        try (InputStream in = GoldenSamples.class.getResourceAsStream("/golden/" + file)) {
            assertThat(in).as("golden sample %s", file).isNotNull();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static JsonNode json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the JSON text of a tree as it is sent; {@code null} for none. */
    public static String text(JsonNode node) {
        return node == null ? "null" : new String(Json.bytes(node), StandardCharsets.UTF_8);
    }

    /** Returns bytes as hexadecimal text. */
    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the bytes of hexadecimal text. */
    public static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex);
    }

    /**
     * Returns a value as JSON text: a record is the list of its components, an enum constant its ordinal, so that the
     * text does not change with Java names.
     */
    public static String values(Object value) {
        return text(toTree(value));
    }

    private static JsonNode toTree(Object value) {
        if (value instanceof JsonNode node) {
            return node.isMissingNode() ? toTree("missing") : node;
        } else if (value instanceof Record fields) {
            return components(fields);
        } else if (value instanceof Enum<?> constant) {
            return Json.array().add(constant.ordinal()).get(0);
        } else if (value instanceof Collection<?> elements) {
            ArrayNode array = Json.array();
            elements.forEach(element -> array.add(toTree(element)));
            return array;
        } else if (value instanceof Map<?, ?> entries) {
            ObjectNode object = Json.object();
            entries.forEach((key, entry) -> object.set(key.toString(), toTree(entry)));
            return object;
        }
        return scalar(value);
    }

    private static JsonNode scalar(Object value) {
        ArrayNode array = Json.array();
        if (value == null) {
            array.addNull();
        } else if (value instanceof Integer number) {
            array.add(number);
        } else if (value instanceof Long number) {
            array.add(number);
        } else if (value instanceof Double number) {
            array.add(number);
        } else if (value instanceof Boolean flag) {
            array.add(flag);
        } else if (value instanceof byte[] bytes) {
            array.add(new String(bytes, StandardCharsets.UTF_8));
        } else if (value instanceof long[] numbers) {
            ArrayNode list = array.addArray();
            for (long number : numbers) {
                list.add(number);
            }
        } else if (value instanceof InetSocketAddress address) {
            array.add(address.getHostString() + ":" + address.getPort());
        } else if (value instanceof String string) {
            array.add(string);
        } else {
            throw new IllegalArgumentException("no sample form for " + value.getClass());
        }
        return array.get(0);
    }

    private static JsonNode components(Record value) {
        ArrayNode array = Json.array();
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            try {
                Method accessor = component.getAccessor();
                accessor.setAccessible(true);
                array.add(toTree(accessor.invoke(value)));
            } catch (IllegalAccessException | InvocationTargetException e) {
                throw new IllegalStateException(e);
            }
        }
        return array;
    }

    /** Returns what a write does to its key: an object of the key and its value, null if the key is removed. */
    public static String change(PendingWrite write) {
        ObjectNode changes = Json.object();
        KeyChange change = write.change();
        if (!change.isNone()) {
            changes.set(write.key(), change.value());
        }
        return text(changes);
    }

    /** Returns the fields of a heartbeat in the order in which the samples list them. */
    public static List<Object> fields(Heartbeat heartbeat) {
        return List.of(
                heartbeat.machine(),
                heartbeat.address(),
                heartbeat.description().machineType(),
                heartbeat.description().zone(),
                heartbeat.description().isSpot(),
                heartbeat.epoch(),
                heartbeat.sequence(),
                heartbeat.fencingToken(),
                heartbeat.interruptionMicros(),
                heartbeat.tasks());
    }

    /** Returns the fields of a job in the order in which the samples list them. */
    public static List<Object> fields(JobSpec spec) {
        return Arrays.asList(
                spec.uid(),
                spec.jobClass(),
                spec.team(),
                spec.priorityClass(),
                spec.tasks(),
                spec.cpus(),
                spec.gpus(),
                spec.ramGb(),
                spec.image(),
                spec.imageGb(),
                spec.placement().machineTypes(),
                spec.zone(),
                spec.zoneAffinity(),
                spec.zoneAntiAffinity(),
                spec.spotAllowed(),
                spec.estimatedMicros(),
                spec.task().checkpointing().intervalMicros(),
                spec.checkpointDurationMicros(),
                spec.deadlineMicros(),
                spec.dependencies());
    }

    /** Returns a request as text: method, path and body on one line. */
    public static String text(HttpRequest request) {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        return (request.method() + " " + request.path() + " " + body).strip();
    }

    /** Returns a response as text: status, seconds to wait before a retry, and body on one line. */
    public static String text(HttpResponse response) {
        String body = new String(response.body(), StandardCharsets.UTF_8);
        return (response.status() + " " + response.retryAfterSeconds() + " " + body).strip();
    }

    /** Returns the response that a sample describes: the status, a space and the body. */
    public static HttpResponse response(String sample) {
        int space = sample.indexOf(' ');
        byte[] body = sample.substring(space + 1).getBytes(StandardCharsets.UTF_8);
        return new HttpResponse(Integer.parseInt(sample.substring(0, space)), body, 0);
    }

    /** Records requests and notes in their order, and passes each request to a handler. */
    public static final class Transcript implements HttpClient {
        private final StringBuilder lines = new StringBuilder();
        private final Function<HttpRequest, CompletableFuture<HttpResponse>> handler;

        /** @param handler handles the requests */
        public Transcript(Function<HttpRequest, CompletableFuture<HttpResponse>> handler) {
            this.handler = handler;
        }

        /** Appends a line. */
        public void note(String line) {
            lines.append(line).append('\n');
        }

        @Override
        public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
            note("-> " + address + " " + text(request));
            return handler.apply(request);
        }

        @Override
        public String toString() {
            return lines.toString();
        }
    }
}
