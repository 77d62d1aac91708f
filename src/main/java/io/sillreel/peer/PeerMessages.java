package io.sillreel.peer;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.http.Call;
import io.sillreel.http.Reply;
import io.sillreel.workers.Report;
import io.sillreel.workers.Report.PieceState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** What controllers say to each other, in CBOR. */
public final class PeerMessages {
    public static final String BEATS = "/peer/beats";
    public static final String HELLO = "/peer/hello";
    private static final CBORFactory STREAM = new CBORFactory();
    private static final ObjectMapper CBOR = new ObjectMapper(STREAM);
    private static final Report.Stage[] STAGES = Report.Stage.values();

    /**
     * What a controller knows: who leads, whether the state service answers it, how many workers report to it, whether it
     * can have their reports answered, and how many lately went unanswered.
     */
    public record Hello(String node, String leader, long term, boolean storeAnswers, int workers, boolean serves,
            int unanswered) {
        public byte[] bytes() {
            return write(CBOR.createObjectNode().put("node", node).put("leader", leader).put("term", term)
                    .put("store", storeAnswers).put("workers", workers).put("serves", serves)
                    .put("unanswered", unanswered));
        }

        public static Hello of(byte[] body) {
            JsonNode node = read(body);
            return new Hello(node.path("node").asText(), node.hasNonNull("leader") ? node.path("leader").asText() : null,
                    node.path("term").asLong(), node.path("store").asBoolean(), node.path("workers").asInt(),
                    node.path("serves").asBoolean(), node.path("unanswered").asInt());
        }
    }

    private PeerMessages() {
    }

    /** Workers' reports, handed on together. */
    public static Call beats(List<Report> reports) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512 * reports.size());
        try (CBORGenerator out = STREAM.createGenerator(bytes)) {
            out.writeStartArray(null, reports.size());
            for (Report report : reports) {
                write(out, report);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Call("POST", BEATS, bytes.toByteArray());
    }

    private static void write(CBORGenerator out, Report report) throws IOException {
        out.writeStartArray(null, 10);
        out.writeString(report.machine());
        out.writeString(report.address());
        out.writeString(report.build());
        out.writeString(report.yard());
        out.writeBoolean(report.spot());
        out.writeNumber(report.shift());
        out.writeNumber(report.tally());
        out.writeNumber(report.baton());
        out.writeNumber(report.recallMicros());
        out.writeStartArray(null, report.pieces().size());
        for (PieceState piece : report.pieces()) {
            out.writeStartArray(null, 5);
            out.writeString(piece.uid());
            out.writeNumber(piece.index());
            out.writeNumber(piece.attempt());
            out.writeNumber(piece.stage().ordinal());
            out.writeString(piece.cause());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /** @throws UncheckedIOException if that is not what {@link #beats} wrote */
    public static List<Report> reports(byte[] body) {
        List<Report> reports = new ArrayList<>();
        try (CBORParser in = STREAM.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                reports.add(report(in));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return reports;
    }

    private static Report report(CBORParser in) throws IOException {
        String machine = in.nextTextValue();
        String address = in.nextTextValue();
        String build = in.nextTextValue();
        String yard = in.nextTextValue();
        boolean spot = in.nextToken() == JsonToken.VALUE_TRUE;
        long shift = in.nextLongValue(0);
        long tally = in.nextLongValue(0);
        long baton = in.nextLongValue(0);
        long recallMicros = in.nextLongValue(-1);
        List<PieceState> pieces = new ArrayList<>();
        in.nextToken();
        while (in.nextToken() == JsonToken.START_ARRAY) {
            pieces.add(new PieceState(in.nextTextValue(), in.nextIntValue(0), in.nextLongValue(0),
                    STAGES[in.nextIntValue(0)], in.nextTextValue()));
            in.nextToken();
        }
        in.nextToken();
        return new Report(machine, address, build, yard, spot, shift, tally, baton, recallMicros, pieces);
    }

    /** The lease holder's answers to reports, in their order. */
    public static byte[] answers(List<Reply> replies) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 * replies.size());
        try (CBORGenerator out = STREAM.createGenerator(bytes)) {
            out.writeStartArray(null, replies.size());
            for (Reply reply : replies) {
                out.writeStartArray(null, 3);
                out.writeNumber(reply.status());
                out.writeBinary(reply.body());
                out.writeNumber(reply.retryAfterSeconds());
                out.writeEndArray();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** The answers, or none if they can't be read. */
    public static List<Reply> replies(byte[] body) {
        List<Reply> replies = new ArrayList<>();
        try (CBORParser in = STREAM.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                int status = in.nextIntValue(0);
                in.nextToken();
                replies.add(new Reply(status, in.getBinaryValue(), in.nextIntValue(0)));
                in.nextToken();
            }
        } catch (IOException e) {
            return List.of();
        }
        return replies;
    }

    private static JsonNode read(byte[] body) {
        try {
            JsonNode node = CBOR.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private static byte[] write(ObjectNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
