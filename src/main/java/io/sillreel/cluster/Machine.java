package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.pipeline.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine of the fleet and what is known of it. */
public final class Machine {
    /** RENTED: no report yet. UP: reports. LEAVING: takes nothing more. RETURNING: the cloud was asked to take it. */
    public enum State {
        RENTED,
        UP,
        LEAVING,
        RETURNING
    }

    /**
     * A report may have 64 KiB, and a task takes up to 110 bytes of it. A machine whose reports were too large to be
     * read would lose its lease, and all tasks with it.
     */
    public static final int MAX_TASKS = 580;

    private static final double EPSILON = 1e-6;
    private final String name;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final ScaleOutRequest rental;
    private final long rentedMicros;
    private final AllocationIndex book;
    private final Map<String, Allocation> allocations = new LinkedHashMap<>();
    private final ImageCache images;
    private final HeartbeatOrder messages = new HeartbeatOrder();
    private final Responsiveness responsiveness = new Responsiveness();
    private final MachineHealth faults = new MachineHealth();
    private final ResourceUsage use;

    private State state = State.RENTED;
    private String address;
    private boolean inherited;
    private boolean trusted;
    private long upMicros = -1;
    private long lastReportMicros = -1;
    private long leaseBoundMicros;
    private long recallAtMicros = -1;
    private long idleSinceMicros;
    private long firstListedMicros = -1;
    private boolean toBeReturned;
    private String leavingReason;

    /**
     * @param rental the rental that the machine belongs to, or null if no stored one names it
     * @param book counts the tasks of all machines
     */
    public Machine(
            String name,
            MachineType type,
            String zone,
            boolean spot,
            ScaleOutRequest rental,
            long rentedMicros,
            AllocationIndex book) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.rental = rental;
        this.rentedMicros = rentedMicros;
        this.idleSinceMicros = rentedMicros;
        this.book = book;
        this.images = new ImageCache(type.cacheGb());
        this.use = new ResourceUsage(allocations.values());
    }

    AllocationIndex book() {
        return book;
    }

    public String name() {
        return name;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public ScaleOutRequest rental() {
        return rental;
    }

    public long rentedMicros() {
        return rentedMicros;
    }

    public State state() {
        return state;
    }

    public String address() {
        return address;
    }

    /** Takes over the address under which the machine accepts commands, if there is one. */
    public void address(String newAddress) {
        if (newAddress != null && !newAddress.isEmpty()) {
            address = newAddress;
        }
    }

    /** True if an earlier leader rented the machine: it boots no longer, or not for long. */
    public boolean inherited() {
        return inherited;
    }

    public void inherit() {
        inherited = true;
    }

    /** True once a report made under the current term has shown what is on the machine. */
    public boolean trusted() {
        return trusted;
    }

    public void trust() {
        trusted = true;
    }

    /** The order of its messages, and which of them is the newest. */
    public HeartbeatOrder messages() {
        return messages;
    }

    /** Whether it hears what it is told. */
    public Responsiveness responsiveness() {
        return responsiveness;
    }

    /** Whether it fails what it starts, or takes longer than others. */
    public MachineHealth faults() {
        return faults;
    }

    /**
     * Takes the report's numbers; false if a newer message was seen already, or if the session that it tells of is
     * over: a report held back by the network, or a copy of one, shows tasks that have died since.
     */
    public boolean advance(Heartbeat report, boolean direct, long nowMicros) {
        if (!messages.isNew(report)) {
            return false;
        }
        responsiveness.reported(messages.startsSession(report), state == State.UP, lastReportMicros, nowMicros);
        messages.advance(report, direct, nowMicros);
        lastReportMicros = nowMicros;
        address(report.address());
        recallAtMicros = report.recallMicros() < 0 ? -1 : nowMicros + report.recallMicros();
        if (state == State.RENTED) {
            state = State.UP;
            upMicros = nowMicros;
            idleSinceMicros = nowMicros;
        }
        return true;
    }

    /** It is answered 200, which keeps its tasks alive if it hears that. */
    public void answered(long boundMicros) {
        responsiveness.answered();
        aliveUntil(boundMicros);
    }

    /** Goes back to the cloud whatever is on it: nothing else can make an end of that. */
    public void scheduleReturn(String reason) {
        leave(reason);
        toBeReturned = true;
    }

    public boolean toBeReturned() {
        return toBeReturned;
    }

    public long upMicros() {
        return upMicros;
    }

    public long lastReportMicros() {
        return lastReportMicros;
    }

    /** Until when tasks may be alive on the machine if it is never heard again. */
    public long leaseBoundMicros() {
        return leaseBoundMicros;
    }

    /** Tasks may be alive on the machine until then. */
    public void aliveUntil(long boundMicros) {
        leaseBoundMicros = Math.max(leaseBoundMicros, boundMicros);
    }

    /** True if an earlier leader may have launched tasks here: only on machines that are stored as up. */
    public boolean mayHoldEarlier() {
        return rental.mayHold(name);
    }

    /** When the cloud takes the machine back, or -1. */
    public long recallAtMicros() {
        return recallAtMicros;
    }

    public boolean recalled() {
        return recallAtMicros >= 0;
    }

    /** Since when nothing has run here, as far as was looked. */
    public long idleSinceMicros(long nowMicros) {
        if (liveCount() > 0) {
            idleSinceMicros = nowMicros;
        }
        return idleSinceMicros;
    }

    /** True if nothing is on it that would be lost with it: no live task, and no result that only it knows. */
    public boolean empty() {
        for (Allocation allocation : allocations.values()) {
            if (!allocation.ended()
                    || allocation.job() != null
                            && !allocation.job().isCancelled()
                            && allocation.job().isTaskDone(allocation.index())
                            && !allocation.job().isTaskStored(allocation.index())) {
                return false;
            }
        }
        return true;
    }

    public long firstListedMicros() {
        return firstListedMicros;
    }

    /** The machine is in the cloud's list. */
    public void listed(long nowMicros) {
        if (firstListedMicros < 0) {
            firstListedMicros = nowMicros;
        }
    }

    /** Takes nothing more and goes back to the cloud once it is empty. */
    public void leave(String reason) {
        if (state == State.RENTED || state == State.UP) {
            state = State.LEAVING;
            leavingReason = reason;
        }
    }

    public void returning() {
        state = State.RETURNING;
    }

    public String leavingReason() {
        return leavingReason;
    }

    public Collection<Allocation> allocations() {
        return allocations.values();
    }

    public Allocation allocation(String uid, int index, long attempt) {
        return allocations.get(key(uid, index, attempt));
    }

    private static String key(String uid, int index, long attempt) {
        return uid + "/" + index + "#" + attempt;
    }

    /** Adds a task to the machine. */
    public void add(Allocation allocation) {
        allocations.put(key(allocation.uid(), allocation.index(), allocation.attempt()), allocation);
        changed();
        allocation.placed(this);
        if (allocation.job() != null) {
            images.use(Image.of(allocation.job().spec()));
        }
    }

    public void remove(Allocation allocation) {
        allocations.remove(key(allocation.uid(), allocation.index(), allocation.attempt()));
        changed();
    }

    /** Removes all tasks and returns them. */
    public List<Allocation> clearAllocations() {
        List<Allocation> gone = new ArrayList<>(allocations.values());
        allocations.clear();
        changed();
        return gone;
    }

    public boolean hasImage(JobSpec spec) {
        return hasImage(Image.of(spec));
    }

    public boolean hasImage(Image image) {
        return images.has(image);
    }

    /** Processors that are free; none on a machine whose report holds no more tasks. */
    public double freeCpus() {
        return allocations.size() >= MAX_TASKS ? 0 : type.cpus() - use.cpus();
    }

    public double freeRamGb() {
        return type.ramGb() - use.ramGb();
    }

    public double freeCards() {
        return type.cards() - use.cards();
    }

    /** Live tasks that have a place here. */
    public int liveCount() {
        return use.tasks();
    }

    /** A task came, ended or went: what they take is counted again when it is next asked for. */
    void changed() {
        use.changed();
    }

    /** How many more tasks of the job fit beside those that are here. */
    public int room(JobSpec spec) {
        return fits(spec, freeCpus(), freeRamGb(), freeCards());
    }

    /** True if a task of the job fits into an empty machine of the type. */
    public static boolean fitsEmpty(JobSpec spec, MachineType type) {
        return fits(spec, type.cpus(), type.ramGb(), type.cards()) > 0;
    }

    /** Returns how many tasks of the job fit into the free resources. */
    public static int fits(JobSpec spec, double cpus, double ramGb, double cards) {
        return Math.min(fits(cpus, spec.cpus()), Math.min(fits(ramGb, spec.ramGb()), fits(cards, spec.gpus())));
    }

    private static int fits(double free, double each) {
        return each <= 0 ? Integer.MAX_VALUE : (int) Math.floor(free / each + EPSILON);
    }
}
