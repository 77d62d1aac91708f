package io.sillreel.recovery;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.recovery.ChangeLog.Snapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** The messages between controllers about lost writes, in CBOR. */
final class RecoveryMessages {
    static final String STATUS_ROUTE = "/peer/recovery";
    static final String CHANGES_ROUTE = "/peer/recovery/changes";

    private static final CBORFactory CBOR = new CBORFactory();

    private RecoveryMessages() {}

    /**
     * What a controller knows about the state service.
     *
     * @param node the name of the controller
     * @param generation the generation of the last known loss
     * @param suspended true unless that loss has been repaired
     * @param evidence the evidence of the loss
     * @param storeRevision the highest known revision since the loss
     * @param highWatermarks the highest values before the loss
     */
    record PeerStatus(
            String node,
            long generation,
            boolean suspended,
            String evidence,
            long storeRevision,
            HighWatermarks highWatermarks) {
        byte[] encode() {
            return write(out -> {
                out.writeStartArray(null, 8);
                out.writeString(node);
                out.writeNumber(generation);
                out.writeBoolean(suspended);
                out.writeString(evidence);
                out.writeNumber(storeRevision);
                write(out, highWatermarks);
                out.writeEndArray();
            });
        }

        /** @throws UncheckedIOException if the body is not a message of {@link #encode} */
        static PeerStatus decode(byte[] body) {
            try (CBORParser in = CBOR.createParser(body)) {
                in.nextToken();
                String node = in.nextTextValue();
                if (node == null) {
                    throw new JsonParseException(in, "peer status without a node name");
                }
                return new PeerStatus(
                        node,
                        in.nextLongValue(0),
                        in.nextToken() == JsonToken.VALUE_TRUE,
                        in.nextTextValue(),
                        in.nextLongValue(0),
                        readHighWatermarks(in));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * A page of a controller's change log, limited in size. Each page is a response of its own.
     *
     * @param snapshot the state of the log with the changes of this page only
     */
    record Page(Snapshot snapshot, HighWatermarks highWatermarks, boolean last) {
        byte[] encode() {
            return write(out -> {
                out.writeStartArray(null, 10);
                out.writeBoolean(last);
                write(out, highWatermarks);
                out.writeNumber(snapshot.recordingSinceMicros());
                out.writeNumber(snapshot.observedBeforeLossMicros());
                out.writeNumber(snapshot.completeFrom());
                out.writeNumber(snapshot.completeTo());
                out.writeStartArray(null, snapshot.ownRevisions().size());
                for (long revision : snapshot.ownRevisions()) {
                    out.writeNumber(revision);
                }
                out.writeEndArray();
                out.writeStartArray(null, snapshot.changes().size());
                for (RecentChange change : snapshot.changes()) {
                    write(out, change);
                }
                out.writeEndArray();
                out.writeEndArray();
            });
        }

        /** @throws UncheckedIOException if the body is not a message of {@link #encode} */
        static Page decode(byte[] body) {
            try (CBORParser in = CBOR.createParser(body)) {
                in.nextToken();
                boolean last = in.nextToken() == JsonToken.VALUE_TRUE;
                HighWatermarks highWatermarks = readHighWatermarks(in);
                long recordingSinceMicros = in.nextLongValue(0);
                long observedBeforeLossMicros = in.nextLongValue(0);
                long completeFrom = in.nextLongValue(0);
                long completeTo = in.nextLongValue(0);
                List<Long> ownRevisions = new ArrayList<>();
                in.nextToken();
                while (in.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                    ownRevisions.add(in.getLongValue());
                }
                List<RecentChange> changes = new ArrayList<>();
                in.nextToken();
                while (in.nextToken() == JsonToken.START_ARRAY) {
                    changes.add(readChange(in));
                }
                return new Page(
                        new Snapshot(
                                changes,
                                completeFrom,
                                completeTo,
                                ownRevisions,
                                recordingSinceMicros,
                                observedBeforeLossMicros),
                        highWatermarks,
                        last);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void write(CBORGenerator out, HighWatermarks highWatermarks) throws IOException {
        out.writeNumber(highWatermarks.storeRevision());
        out.writeNumber(highWatermarks.keyRevision());
        out.writeNumber(highWatermarks.term());
    }

    private static HighWatermarks readHighWatermarks(CBORParser in) throws IOException {
        return new HighWatermarks(in.nextLongValue(0), in.nextLongValue(0), in.nextLongValue(0));
    }

    private static void write(CBORGenerator out, RecentChange change) throws IOException {
        out.writeStartArray(null, 3);
        out.writeString(change.key());
        if (change.isRemoval()) {
            out.writeNull();
        } else {
            out.writeBinary(change.value());
        }
        out.writeNumber(change.revision());
        out.writeEndArray();
    }

    private static RecentChange readChange(CBORParser in) throws IOException {
        String key = in.nextTextValue();
        byte[] value = in.nextToken() == JsonToken.VALUE_NULL ? null : in.getBinaryValue();
        long revision = in.nextLongValue(0);
        in.nextToken();
        return new RecentChange(key, value, revision);
    }

    /** Writes the content of one message. */
    @FunctionalInterface
    private interface Writer {
        void write(CBORGenerator out) throws IOException;
    }

    private static byte[] write(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
