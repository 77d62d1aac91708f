package io.sillreel.fleet;

import io.sillreel.pipeline.ActiveJob;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Where each job's live tasks are and what they take of their teams' limits, kept as tasks come and go. */
public final class SeatBook {
    private final Map<ActiveJob, Set<Seat>> byJob = new HashMap<>();
    private final TeamUse use = new TeamUse();

    void placed(Seat seat) {
        byJob.computeIfAbsent(seat.job(), job -> new LinkedHashSet<>()).add(seat);
        use.take(seat.job().spec(), 1);
    }

    void gone(Seat seat) {
        Set<Seat> seats = byJob.get(seat.job());
        seats.remove(seat);
        if (seats.isEmpty()) {
            byJob.remove(seat.job());
        }
        use.take(seat.job().spec(), -1);
    }

    /** The job's live tasks. */
    public Set<Seat> of(ActiveJob job) {
        return byJob.getOrDefault(job, Set.of());
    }

    /** What all live tasks take; to be copied before it is changed. */
    public TeamUse use() {
        return use;
    }
}
