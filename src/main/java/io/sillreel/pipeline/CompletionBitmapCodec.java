package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import java.util.Base64;
import java.util.BitSet;

/** The stored form of completion bitmaps: the bytes of the bit set in Base64; each chunk has a value of its own. */
public final class CompletionBitmapCodec {
    private static final String BITMAP = "bits";
    private static final int MIN_TASKS = 8;

    private CompletionBitmapCodec() {}

    /** Returns how many tasks a bitmap may cover if it takes at most half of a value of that size in bytes. */
    public static int tasksPerChunk(int valueBytes) {
        return Math.max(MIN_TASKS, valueBytes / 2 / 4 * 3 * 8);
    }

    /** Encodes a bitmap as text. */
    public static String encode(BitSet bitmap) {
        return Base64.getEncoder().encodeToString(bitmap.toByteArray());
    }

    /** Decodes the text of a bitmap; null stands for an empty one. */
    public static BitSet decode(String encoded) {
        return encoded == null
                ? new BitSet()
                : BitSet.valueOf(Base64.getDecoder().decode(encoded));
    }

    /** Encodes a bitmap as the value of a chunk. */
    static ObjectNode encodeChunk(BitSet bitmap) {
        return Json.object().put(BITMAP, encode(bitmap));
    }

    /** Returns the encoded bitmap in a chunk's value; empty if there is none. */
    static String chunkText(JsonNode value) {
        return value.path(BITMAP).asText();
    }
}
