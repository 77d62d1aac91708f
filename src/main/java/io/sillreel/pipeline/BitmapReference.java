package io.sillreel.pipeline;

/**
 * Where the completion bitmap of a job is stored, as its record tells.
 *
 * @param inline the encoded bitmap, or null if it is stored in chunks or the stage of the record tells it
 * @param tasksPerChunk how many tasks one chunk covers; 0 if the record refers to no chunks
 * @param chunkGenerations the generation of each chunk that counts, 0 for a chunk without completed tasks
 */
public record BitmapReference(String inline, int tasksPerChunk, long[] chunkGenerations) {
    private static final long[] NO_CHUNKS = {};

    /** A bitmap within the record, or none at all. */
    static BitmapReference inline(String encoded) {
        return new BitmapReference(encoded, 0, NO_CHUNKS);
    }

    /** A bitmap in chunks. */
    static BitmapReference chunks(int tasksPerChunk, long[] generations) {
        return new BitmapReference(null, tasksPerChunk, generations);
    }

    /** True if the record refers to chunks. */
    public boolean isChunked() {
        return tasksPerChunk > 0;
    }
}
