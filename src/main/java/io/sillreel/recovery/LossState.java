package io.sillreel.recovery;

/**
 * What one controller knows of the last loss of writes, and whether that loss has been repaired. Losses are counted by
 * generations. Used on the event loop only.
 */
final class LossState {
    private long generation;
    private boolean suspended;
    private boolean recordStored;
    private boolean locallyDetected;
    private long lastCollectedGeneration;
    private String evidence = "";
    private long epoch;

    /** The number of the last known loss; 0 before the first one. */
    long generation() {
        return generation;
    }

    /** True while a loss is known that has not been repaired. */
    boolean isSuspended() {
        return suspended;
    }

    /** What has shown the loss; empty while no loss is open. */
    String evidence() {
        return evidence;
    }

    /** Grows with each loss that becomes known: what began under another version rests on a state that may be gone. */
    long epoch() {
        return epoch;
    }

    /** True if the loss is known and its record is not stored yet, as far as is known here. */
    boolean isUnrecorded() {
        return suspended && !recordStored;
    }

    /**
     * A loss has become known.
     *
     * @param alreadyRecorded true if the record of the loss is stored already
     */
    void suspend(long newGeneration, String newEvidence, boolean alreadyRecorded) {
        epoch++;
        suspended = true;
        recordStored = alreadyRecorded;
        locallyDetected = false;
        generation = newGeneration;
        evidence = newEvidence;
    }

    /** This controller has seen the loss itself. */
    void markLocallyDetected() {
        locallyDetected = true;
    }

    /** The record of an open loss has been read. */
    void markRecordStored(long storedGeneration) {
        recordStored = true;
        generation = Math.max(generation, storedGeneration);
    }

    /** The loss has been repaired under that generation. */
    void resume(long closedGeneration) {
        suspended = false;
        generation = closedGeneration;
        evidence = "";
    }

    /** A loss was noticed and repaired without this controller. */
    void skipToGeneration(long closedGeneration) {
        generation = closedGeneration;
        epoch++;
    }

    /** The loss that is open here gets a generation above one that has been closed. */
    void raiseGenerationAbove(long closedGeneration) {
        generation = Math.max(generation, closedGeneration + 1);
    }

    /** What this controller remembers was asked for under that generation. */
    void markCollected(long collectedGeneration) {
        lastCollectedGeneration = Math.max(lastCollectedGeneration, collectedGeneration);
    }

    /**
     * True if what this controller remembers has been taken into account under a generation that is closed by now. A
     * controller that has seen a loss itself and was not asked may remember more.
     */
    boolean isRepairedBy(RecoveryRecord closed) {
        return !locallyDetected || lastCollectedGeneration >= closed.generation();
    }
}
