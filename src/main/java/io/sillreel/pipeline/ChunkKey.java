package io.sillreel.pipeline;

/** The keys of chunks of completion bitmaps: {@code bits/UID/INDEX/GENERATION}. */
public final class ChunkKey {
    /** The prefix of all chunks. */
    public static final String PREFIX = "bits/";

    private ChunkKey() {}

    /** The key of a generation of a job's chunk; chunks are counted from 0. */
    static String of(String uid, int index, long generation) {
        return PREFIX + uid + "/" + index + "/" + generation;
    }

    /** The job that a chunk belongs to. */
    public static String uid(String key) {
        return key.substring(PREFIX.length(), key.indexOf('/', PREFIX.length()));
    }

    /** The generation of a chunk. */
    static long generation(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }
}
