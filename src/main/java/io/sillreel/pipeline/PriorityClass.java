package io.sillreel.pipeline;

import java.util.Optional;

/** Ranks of jobs, most urgent first. */
public enum PriorityClass {
    PRODUCTION("production"),
    HIGH("high"),
    NORMAL("normal"),
    BEST_EFFORT("best_effort");

    private final String wireName;

    PriorityClass(String wire) {
        this.wireName = wire;
    }

    public String wireName() {
        return wireName;
    }

    public boolean isAbove(PriorityClass other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the rank of that name in the users' interface. */
    public static Optional<PriorityClass> fromWireName(String wire) {
        for (PriorityClass rank : values()) {
            if (rank.wireName.equals(wire)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
