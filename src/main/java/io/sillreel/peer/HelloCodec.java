package io.sillreel.peer;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes and decodes {@link Hello} as a CBOR array of its components in declaration order. */
public final class HelloCodec {
    private static final CBORFactory CBOR = CborStreams.FACTORY;

    private HelloCodec() {}

    /** Returns the request that sends the hello to another controller. */
    public static HttpRequest toRequest(Hello hello) {
        return new HttpRequest("POST", PeerRoutes.HELLO, encode(hello));
    }

    /** Returns the response to the hello of another controller. */
    public static HttpResponse toResponse(Hello hello) {
        return new HttpResponse(200, encode(hello), 0);
    }

    static byte[] encode(Hello hello) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, 7);
            out.writeString(hello.node());
            out.writeString(hello.leader());
            out.writeNumber(hello.term());
            out.writeBoolean(hello.isStoreReachable());
            out.writeNumber(hello.workerCount());
            out.writeBoolean(hello.isServing());
            out.writeNumber(hello.unansweredHeartbeats());
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** @throws UncheckedIOException if the body is not what {@link #encode} wrote */
    public static Hello decode(byte[] body) {
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            String node = in.nextTextValue();
            if (node == null) {
                throw new JsonParseException(in, "expected the name of a node, found " + in.currentToken());
            }
            return new Hello(
                    node,
                    in.nextTextValue(),
                    in.nextLongValue(0),
                    in.nextToken() == JsonToken.VALUE_TRUE,
                    in.nextIntValue(0),
                    in.nextToken() == JsonToken.VALUE_TRUE,
                    in.nextIntValue(0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
