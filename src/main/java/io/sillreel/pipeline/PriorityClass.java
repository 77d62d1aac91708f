package io.sillreel.pipeline;

import java.util.Optional;

/** Ranks of jobs, most urgent first. */
public enum PriorityClass {
    PRODUCTION("production"),
    HIGH("high"),
    NORMAL("normal"),
    BEST_EFFORT("best_effort");

    private final String wire;

    PriorityClass(String wire) {
        this.wire = wire;
    }

    public String wire() {
        return wire;
    }

    public boolean above(PriorityClass other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the rank of that name in the users' interface. */
    public static Optional<PriorityClass> of(String wire) {
        for (PriorityClass rank : values()) {
            if (rank.wire.equals(wire)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
