package io.sillreel.recovery;

/**
 * What one controller knows about the last loss of writes, and whether that loss has been repaired. Losses are numbered
 * by generations. Used on the event loop only.
 */
final class LossState {
    private long generation;
    private boolean suspended;
    private boolean recordStored;
    private boolean locallyDetected;
    private long lastCollectedGeneration;
    private String evidence = "";
    private long lossEpoch;

    /** The generation of the last known loss; 0 before the first one. */
    long generation() {
        return generation;
    }

    /** True from the detection of a loss until it has been repaired. */
    boolean isSuspended() {
        return suspended;
    }

    /** The evidence of the loss; empty while no loss is open. */
    String evidence() {
        return evidence;
    }

    /** Incremented with each loss; a request from an earlier loss epoch may have read state that was lost. */
    long lossEpoch() {
        return lossEpoch;
    }

    /** True while a loss is open whose record is not known to be stored. */
    boolean isUnrecorded() {
        return suspended && !recordStored;
    }

    /**
     * Opens a loss.
     *
     * @param alreadyRecorded true if the record of the loss is already stored
     */
    void suspend(long newGeneration, String newEvidence, boolean alreadyRecorded) {
        lossEpoch++;
        suspended = true;
        recordStored = alreadyRecorded;
        locallyDetected = false;
        generation = newGeneration;
        evidence = newEvidence;
    }

    /** Notes that this controller has detected the loss itself. */
    void markLocallyDetected() {
        locallyDetected = true;
    }

    /** Notes that the record of the open loss is stored. */
    void markRecordStored(long storedGeneration) {
        recordStored = true;
        generation = Math.max(generation, storedGeneration);
    }

    /** Closes the loss, which has been repaired under the generation. */
    void resume(long closedGeneration) {
        suspended = false;
        generation = closedGeneration;
        evidence = "";
    }

    /** Skips a loss that was detected and repaired without this controller. */
    void skipToGeneration(long closedGeneration) {
        generation = closedGeneration;
        lossEpoch++;
    }

    /** Gives the open loss a generation above one that is already closed. */
    void raiseGenerationAbove(long closedGeneration) {
        generation = Math.max(generation, closedGeneration + 1);
    }

    /** Notes that this controller's change log has been collected for the generation. */
    void markCollected(long collectedGeneration) {
        lastCollectedGeneration = Math.max(lastCollectedGeneration, collectedGeneration);
    }

    /**
     * True if the closed record covers the loss that is open here. If this controller detected the loss itself, its
     * change log must have been collected for that generation or a later one; otherwise the log may contain writes that
     * were not restored.
     */
    boolean isRepairedBy(RecoveryRecord closed) {
        return !locallyDetected || lastCollectedGeneration >= closed.generation();
    }
}
