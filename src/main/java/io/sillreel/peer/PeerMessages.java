package io.sillreel.peer;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** What controllers say to each other, in CBOR. */
public final class PeerMessages {
    public static final String HEARTBEATS = "/peer/beats";
    public static final String HELLO = "/peer/hello";
    public static final String CANCELLED = "/peer/withdrawn";
    private static final CBORFactory CBOR = new CBORFactory();
    private static final Heartbeat.TaskStage[] STAGES = Heartbeat.TaskStage.values();
    private static final int HEARTBEAT_BYTES = 120;
    private static final int TASK_BYTES = 48;

    /**
     * What a controller knows: who leads, whether the state service answers it, how many workers report to it, whether
     * it can have their reports answered, and how many lately went unanswered.
     */
    public record Hello(
            String node,
            String leader,
            long term,
            boolean isStoreReachable,
            int workerCount,
            boolean isServing,
            int unansweredHeartbeats) {
        /** Encodes the greeting. */
        public byte[] bytes() {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
            try (CBORGenerator out = CBOR.createGenerator(bytes)) {
                out.writeStartArray(null, 7);
                out.writeString(node);
                out.writeString(leader);
                out.writeNumber(term);
                out.writeBoolean(isStoreReachable);
                out.writeNumber(workerCount);
                out.writeBoolean(isServing);
                out.writeNumber(unansweredHeartbeats);
                out.writeEndArray();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return bytes.toByteArray();
        }

        /** @throws UncheckedIOException if that is not what {@link #bytes} wrote */
        public static Hello of(byte[] body) {
            try (CBORParser in = CBOR.createParser(body)) {
                in.nextToken();
                String node = in.nextTextValue();
                if (node == null) {
                    throw new JsonParseException(in, "a greeting without a name");
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

    private PeerMessages() {}

    /** A job whose cancellation has been stored. */
    public static HttpRequest cancelled(String uid) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, 1);
            out.writeString(uid);
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpRequest("POST", CANCELLED, bytes.toByteArray());
    }

    /** @throws UncheckedIOException if that is not what {@link #cancelled} wrote */
    public static List<String> cancelled(byte[] body) {
        List<String> uids = new ArrayList<>();
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            for (String uid = in.nextTextValue(); uid != null; uid = in.nextTextValue()) {
                uids.add(uid);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return uids;
    }

    /** Workers' reports, handed on together. */
    public static HttpRequest heartbeats(List<Heartbeat> reports) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512 * reports.size());
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, reports.size());
            for (Heartbeat heartbeat : reports) {
                writeHeartbeat(out, heartbeat);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpRequest("POST", HEARTBEATS, bytes.toByteArray());
    }

    /** About what a report takes in a batch. */
    public static int approximateBytes(Heartbeat heartbeat) {
        return HEARTBEAT_BYTES + TASK_BYTES * heartbeat.tasks().size();
    }

    private static void writeHeartbeat(CBORGenerator out, Heartbeat heartbeat) throws IOException {
        out.writeStartArray(null, 10);
        out.writeString(heartbeat.machine());
        out.writeString(heartbeat.address());
        out.writeString(heartbeat.description().machineType());
        out.writeString(heartbeat.description().zone());
        out.writeBoolean(heartbeat.description().isSpot());
        out.writeNumber(heartbeat.epoch());
        out.writeNumber(heartbeat.sequence());
        out.writeNumber(heartbeat.fencingToken());
        out.writeNumber(heartbeat.interruptionMicros());
        out.writeStartArray(null, heartbeat.tasks().size());
        for (TaskStatus task : heartbeat.tasks()) {
            out.writeStartArray(null, 5);
            out.writeString(task.uid());
            out.writeNumber(task.index());
            out.writeNumber(task.attempt());
            out.writeNumber(task.stage().ordinal());
            out.writeString(task.cause());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /** @throws UncheckedIOException if that is not what {@link #heartbeats} wrote */
    public static List<Heartbeat> decodeHeartbeats(byte[] body) {
        List<Heartbeat> reports = new ArrayList<>();
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                reports.add(readHeartbeat(in));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return reports;
    }

    private static Heartbeat readHeartbeat(CBORParser in) throws IOException {
        String machine = in.nextTextValue();
        String address = in.nextTextValue();
        String machineType = in.nextTextValue();
        String zone = in.nextTextValue();
        boolean spot = in.nextToken() == JsonToken.VALUE_TRUE;
        long epoch = in.nextLongValue(0);
        long sequence = in.nextLongValue(0);
        long token = in.nextLongValue(0);
        long recallMicros = in.nextLongValue(-1);
        List<TaskStatus> tasks = new ArrayList<>();
        in.nextToken();
        while (in.nextToken() == JsonToken.START_ARRAY) {
            tasks.add(new TaskStatus(
                    in.nextTextValue(),
                    in.nextIntValue(0),
                    in.nextLongValue(0),
                    STAGES[in.nextIntValue(0)],
                    in.nextTextValue()));
            in.nextToken();
        }
        in.nextToken();
        return new Heartbeat(
                machine,
                address,
                new MachineDescription(machineType, zone, spot),
                epoch,
                sequence,
                token,
                recallMicros,
                tasks);
    }

    /** The lease leader's answers to reports, in their order. */
    public static byte[] encodeResponses(List<HttpResponse> replies) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 * replies.size());
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, replies.size());
            for (HttpResponse response : replies) {
                out.writeStartArray(null, 3);
                out.writeNumber(response.status());
                out.writeBinary(response.body());
                out.writeNumber(response.retryAfterSeconds());
                out.writeEndArray();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** The answers, or none if they can't be read. */
    public static List<HttpResponse> decodeResponses(byte[] body) {
        List<HttpResponse> replies = new ArrayList<>();
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                int status = in.nextIntValue(0);
                in.nextToken();
                replies.add(new HttpResponse(status, in.getBinaryValue(), in.nextIntValue(0)));
                in.nextToken();
            }
        } catch (IOException e) {
            return List.of();
        }
        return replies;
    }
}
