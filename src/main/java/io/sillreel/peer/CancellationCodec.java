package io.sillreel.peer;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.http.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the ids of cancelled jobs as a CBOR array of strings. */
public final class CancellationCodec {
    private CancellationCodec() {}

    /** Returns the request that notifies the leader of a job whose cancellation has been stored. */
    public static HttpRequest toRequest(String uid) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);
        try (CBORGenerator out = CborStreams.FACTORY.createGenerator(bytes)) {
            out.writeStartArray(null, 1);
            out.writeString(uid);
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpRequest("POST", PeerRoutes.CANCELLED, bytes.toByteArray());
    }

    /** @throws UncheckedIOException if the body is not what {@link #toRequest} wrote */
    public static List<String> decode(byte[] body) {
        List<String> uids = new ArrayList<>();
        try (CBORParser in = CborStreams.FACTORY.createParser(body)) {
            in.nextToken();
            for (String uid = in.nextTextValue(); uid != null; uid = in.nextTextValue()) {
                uids.add(uid);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return uids;
    }
}
