package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;
import java.util.List;

/** A machine of the fleet and what is known of it. */
public final class Machine {
    /** RENTED: no report yet. UP: reports. LEAVING: takes nothing more. RETURNING: the cloud was asked to take it. */
    public enum State {
        PROVISIONING,
        UP,
        DRAINING,
        RETURNING
    }

    /**
     * A report may have 64 KiB, and a task takes up to 110 bytes of it. A machine whose reports were too large to be
     * read would lose its lease, and all tasks with it.
     */
    public static final int MAX_TASKS = 580;

    private final String name;
    private final MachineType type;
    private final String zone;
    private final boolean isSpot;
    private final ScaleOutRequest scaleOutRequest;
    private final long requestedMicros;
    private final AllocationIndex allocationIndex;
    private final MachineAllocations allocations = new MachineAllocations();
    private final ImageCache images;
    private final HeartbeatOrder heartbeatOrder = new HeartbeatOrder();
    private final Responsiveness responsiveness = new Responsiveness();
    private final MachineHealth health = new MachineHealth();

    private State state = State.PROVISIONING;
    private String address;
    private boolean isInherited;
    private boolean isReconciled;
    private long upMicros = -1;
    private long lastHeartbeatMicros = -1;
    private long leaseExpiryMicros;
    private long interruptionAtMicros = -1;
    private long idleSinceMicros;
    private long firstListedMicros = -1;
    private boolean isReturnScheduled;

    /**
     * @param rental the rental that the machine belongs to, or null if no stored one names it
     * @param book counts the tasks of all machines
     */
    public Machine(
            String name,
            MachineType type,
            String zone,
            boolean spot,
            ScaleOutRequest scaleOutRequest,
            long rentedMicros,
            AllocationIndex book) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.isSpot = spot;
        this.scaleOutRequest = scaleOutRequest;
        this.requestedMicros = rentedMicros;
        this.idleSinceMicros = rentedMicros;
        this.allocationIndex = book;
        this.images = new ImageCache(type.cacheGb());
    }

    AllocationIndex allocationIndex() {
        return allocationIndex;
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

    public boolean isSpot() {
        return isSpot;
    }

    public ScaleOutRequest scaleOutRequest() {
        return scaleOutRequest;
    }

    public long requestedMicros() {
        return requestedMicros;
    }

    public State state() {
        return state;
    }

    public String address() {
        return address;
    }

    /** Takes over the address under which the machine accepts commands, if there is one. */
    public void updateAddress(String newAddress) {
        if (newAddress != null && !newAddress.isEmpty()) {
            address = newAddress;
        }
    }

    /** True if an earlier leader rented the machine: it boots no longer, or not for long. */
    public boolean isInherited() {
        return isInherited;
    }

    public void markInherited() {
        isInherited = true;
    }

    /** True once a report made under the current term has shown what is on the machine. */
    public boolean isReconciled() {
        return isReconciled;
    }

    public void markReconciled() {
        isReconciled = true;
    }

    /** The order of its messages, and which of them is the newest. */
    public HeartbeatOrder heartbeatOrder() {
        return heartbeatOrder;
    }

    /** Whether it hears what it is told. */
    public Responsiveness responsiveness() {
        return responsiveness;
    }

    /** Whether it fails what it starts, or takes longer than others. */
    public MachineHealth health() {
        return health;
    }

    /**
     * Takes the report's numbers; false if a newer message was seen already, or if the session that it tells of is
     * over: a report held back by the network, or a copy of one, shows tasks that have died since.
     */
    public boolean acceptHeartbeat(Heartbeat heartbeat, boolean direct, long nowMicros) {
        if (!heartbeatOrder.isNew(heartbeat)) {
            return false;
        }
        responsiveness.recordHeartbeat(
                heartbeatOrder.startsEpoch(heartbeat), state == State.UP, lastHeartbeatMicros, nowMicros);
        heartbeatOrder.accept(heartbeat, direct, nowMicros);
        lastHeartbeatMicros = nowMicros;
        updateAddress(heartbeat.address());
        interruptionAtMicros = heartbeat.interruptionMicros() < 0 ? -1 : nowMicros + heartbeat.interruptionMicros();
        if (state == State.PROVISIONING) {
            state = State.UP;
            upMicros = nowMicros;
            idleSinceMicros = nowMicros;
        }
        return true;
    }

    /** It is answered 200, which keeps its tasks alive if it hears that. */
    public void recordHeartbeatAnswered(long boundMicros) {
        responsiveness.recordHeartbeatAnswered();
        extendLease(boundMicros);
    }

    /** Goes back to the cloud whatever is on it: nothing else can make an end of that. */
    public void scheduleReturn() {
        drain();
        isReturnScheduled = true;
    }

    public boolean isReturnScheduled() {
        return isReturnScheduled;
    }

    public long upMicros() {
        return upMicros;
    }

    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    /** Until when tasks may be alive on the machine if it is never heard again. */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /** Tasks may be alive on the machine until then. */
    public void extendLease(long boundMicros) {
        leaseExpiryMicros = Math.max(leaseExpiryMicros, boundMicros);
    }

    /** True if an earlier leader may have launched tasks here: only on machines that are stored as up. */
    public boolean mayHoldInheritedTasks() {
        return scaleOutRequest.isStoredAsUp(name);
    }

    /** When the cloud takes the machine back, or -1. */
    public long interruptionAtMicros() {
        return interruptionAtMicros;
    }

    public boolean isInterrupted() {
        return interruptionAtMicros >= 0;
    }

    /** Since when nothing has run here, as far as was looked. */
    public long idleSinceMicros(long nowMicros) {
        if (liveTaskCount() > 0) {
            idleSinceMicros = nowMicros;
        }
        return idleSinceMicros;
    }

    /** True if nothing is on it that would be lost with it: no live task, and no result that only it knows. */
    public boolean isEmpty() {
        return !allocations.hasUnfinishedWork();
    }

    public long firstListedMicros() {
        return firstListedMicros;
    }

    /** The machine is in the cloud's list. */
    public void recordListed(long nowMicros) {
        if (firstListedMicros < 0) {
            firstListedMicros = nowMicros;
        }
    }

    /** Takes nothing more and goes back to the cloud once it is empty. */
    public void drain() {
        if (state == State.PROVISIONING || state == State.UP) {
            state = State.DRAINING;
        }
    }

    public void markReturning() {
        state = State.RETURNING;
    }

    public Collection<Allocation> allocations() {
        return allocations.all();
    }

    public Allocation allocation(String uid, int index, long attempt) {
        return allocations.find(uid, index, attempt);
    }

    /** Adds a task to the machine. */
    public void add(Allocation allocation) {
        allocations.add(allocation);
        allocation.bindTo(this);
        if (allocation.job() != null) {
            images.markUsed(Image.of(allocation.job().spec()));
        }
    }

    public void remove(Allocation allocation) {
        allocations.remove(allocation);
    }

    /** Removes all tasks and returns them. */
    public List<Allocation> clearAllocations() {
        return allocations.clear();
    }

    public boolean hasImage(JobSpec spec) {
        return hasImage(Image.of(spec));
    }

    public boolean hasImage(Image image) {
        return images.contains(image);
    }

    /** Processors that are free; none on a machine whose report holds no more tasks. */
    public double freeCpus() {
        return allocations.size() >= MAX_TASKS
                ? 0
                : type.cpus() - allocations.usage().cpus();
    }

    public double freeRamGb() {
        return type.ramGb() - allocations.usage().ramGb();
    }

    public double freeGpus() {
        return type.gpus() - allocations.usage().gpus();
    }

    /** Live tasks that have a place here. */
    public int liveTaskCount() {
        return allocations.usage().tasks();
    }

    /** A task came, ended or went: what they take is counted again when it is next asked for. */
    void invalidateUsage() {
        allocations.usage().invalidate();
    }

    /** How many more tasks of the job fit beside those that are here. */
    public int fittingTasks(JobSpec spec) {
        return PlacementConstraints.fittingTasks(spec, freeCpus(), freeRamGb(), freeGpus());
    }
}
