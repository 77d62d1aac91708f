package io.sillreel.pipeline;

/**
 * The part of a job's record that holds the completion bitmap or refers to the chunks that do.
 *
 * @param inline the encoded bitmap, or null if it is stored in chunks or implied by the stage of the record
 * @param tasksPerChunk the number of tasks that one chunk covers; 0 if the record refers to no chunks
 * @param chunkGenerations the current generation of each chunk, 0 for a chunk without completed tasks
 */
public record BitmapReference(String inline, int tasksPerChunk, long[] chunkGenerations) {
    private static final long[] NO_CHUNKS = {};

    /** Returns a bitmap within the record; null stands for none. */
    static BitmapReference inline(String encoded) {
        return new BitmapReference(encoded, 0, NO_CHUNKS);
    }

    /** Returns the reference to a bitmap in chunks. */
    static BitmapReference chunks(int tasksPerChunk, long[] generations) {
        return new BitmapReference(null, tasksPerChunk, generations);
    }

    /** True if the record refers to chunks. */
    public boolean isChunked() {
        return tasksPerChunk > 0;
    }
}
