package io.sillreel.peer;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes batches of heartbeats that a controller relays to the leader, and the responses to them in the
 * same order. Uses CBOR arrays without field names, since relayed heartbeats are most of the data that a leader
 * receives.
 */
public final class HeartbeatBatchCodec {
    private static final CBORFactory CBOR = CborStreams.FACTORY;
    private static final TaskStage[] STAGES = TaskStage.values();
    private static final int BYTES_PER_HEARTBEAT = 120;
    private static final int BYTES_PER_TASK = 48;
    private static final int INITIAL_BUFFER_BYTES_PER_HEARTBEAT = 512;
    private static final int INITIAL_BUFFER_BYTES_PER_RESPONSE = 64;

    private HeartbeatBatchCodec() {}

    /** Returns the request that relays the heartbeats. */
    public static HttpRequest toRequest(List<Heartbeat> heartbeats) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES_PER_HEARTBEAT * heartbeats.size());
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, heartbeats.size());
            for (Heartbeat heartbeat : heartbeats) {
                writeHeartbeat(out, heartbeat);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpRequest("POST", PeerRoutes.HEARTBEATS, bytes.toByteArray());
    }

    /** Estimates the encoded size of a heartbeat, in bytes. */
    public static int estimateBytes(Heartbeat heartbeat) {
        return BYTES_PER_HEARTBEAT + BYTES_PER_TASK * heartbeat.tasks().size();
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

    /** @throws UncheckedIOException if the body is not what {@link #toRequest} wrote */
    public static List<Heartbeat> decodeHeartbeats(byte[] body) {
        List<Heartbeat> heartbeats = new ArrayList<>();
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                heartbeats.add(readHeartbeat(in));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return heartbeats;
    }

    private static Heartbeat readHeartbeat(CBORParser in) throws IOException {
        String machine = in.nextTextValue();
        String address = in.nextTextValue();
        MachineDescription description =
                new MachineDescription(in.nextTextValue(), in.nextTextValue(), in.nextToken() == JsonToken.VALUE_TRUE);
        long epoch = in.nextLongValue(0);
        long sequence = in.nextLongValue(0);
        long fencingToken = in.nextLongValue(0);
        long interruptionMicros = in.nextLongValue(-1);
        List<TaskStatus> tasks = readTasks(in);
        in.nextToken();
        return new Heartbeat(machine, address, description, epoch, sequence, fencingToken, interruptionMicros, tasks);
    }

    private static List<TaskStatus> readTasks(CBORParser in) throws IOException {
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
        return tasks;
    }

    /** Encodes the leader's responses to a batch, in the order of its heartbeats. */
    public static byte[] encodeResponses(List<HttpResponse> responses) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES_PER_RESPONSE * responses.size());
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, responses.size());
            for (HttpResponse response : responses) {
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

    /** Decodes the responses to a batch; an empty list, with a response to no heartbeat, if the body is malformed. */
    public static List<HttpResponse> decodeResponses(byte[] body) {
        List<HttpResponse> responses = new ArrayList<>();
        try (CBORParser in = CBOR.createParser(body)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                int status = in.nextIntValue(0);
                in.nextToken();
                responses.add(new HttpResponse(status, in.getBinaryValue(), in.nextIntValue(0)));
                in.nextToken();
            }
        } catch (IOException e) {
            return List.of();
        }
        return responses;
    }
}
