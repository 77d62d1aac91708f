package io.sillreel.pipeline;

import java.util.Optional;

/** The priority classes of jobs, most urgent first. */
public enum PriorityClass {
    PRODUCTION("production"),
    HIGH("high"),
    NORMAL("normal"),
    BEST_EFFORT("best_effort");

    private final String wireName;

    PriorityClass(String wireName) {
        this.wireName = wireName;
    }

    /** The name in the public API and in stored plans. */
    public String wireName() {
        return wireName;
    }

    /** True if this class is more urgent than the other one. */
    public boolean isAbove(PriorityClass other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the class with that name in the public API; empty for an unknown name. */
    public static Optional<PriorityClass> fromWireName(String name) {
        for (PriorityClass priorityClass : values()) {
            if (priorityClass.wireName.equals(name)) {
                return Optional.of(priorityClass);
            }
        }
        return Optional.empty();
    }
}
