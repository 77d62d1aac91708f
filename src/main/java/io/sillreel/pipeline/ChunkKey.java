package io.sillreel.pipeline;

/** Keys of completion bitmap chunks: {@code bits/UID/INDEX/GENERATION}. */
public final class ChunkKey {
    /** Key prefix of all chunks. */
    public static final String PREFIX = "bits/";

    private ChunkKey() {}

    /** Returns the key of one generation of a job's chunk; chunk indexes start at 0. */
    static String of(String uid, int index, long generation) {
        return PREFIX + uid + "/" + index + "/" + generation;
    }

    /** Returns the id of the job that the chunk belongs to. */
    public static String uid(String key) {
        return key.substring(PREFIX.length(), key.indexOf('/', PREFIX.length()));
    }

    /** Returns the generation of the chunk. */
    static long generation(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }
}
