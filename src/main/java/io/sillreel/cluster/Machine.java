package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * A machine of the fleet: its capacity and tasks, its lease, its life cycle, and the evidence on its health. All times
 * are in microseconds of the event loop. Guarded by the lock of the {@link Cluster}.
 */
public final class Machine {
    /**
     * The life cycle. PROVISIONING: no heartbeat has arrived yet. UP: the machine may get tasks. DRAINING: it gets no
     * further tasks and is returned once it is empty. RETURNING: its return was requested from the cloud.
     */
    public enum State {
        PROVISIONING,
        UP,
        DRAINING,
        RETURNING
    }

    /**
     * Maximum number of tasks on one machine. A heartbeat is limited to 64 KiB, and a task takes up to 110 bytes. A
     * machine whose heartbeats exceed the limit would lose its lease and all its tasks.
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
     * Creates a machine that has sent no heartbeat yet.
     *
     * @param scaleOutRequest the request that the machine was provided for
     * @param requestedMicros when the machine was requested from the cloud, or when this leader learned of it
     * @param allocationIndex the index of the live tasks of all machines
     */
    public Machine(
            String name,
            MachineType type,
            String zone,
            boolean spot,
            ScaleOutRequest scaleOutRequest,
            long requestedMicros,
            AllocationIndex allocationIndex) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.isSpot = spot;
        this.scaleOutRequest = scaleOutRequest;
        this.requestedMicros = requestedMicros;
        this.idleSinceMicros = requestedMicros;
        this.allocationIndex = allocationIndex;
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

    /** Returns the request that the machine was provided for. */
    public ScaleOutRequest scaleOutRequest() {
        return scaleOutRequest;
    }

    /** Returns when the machine was requested from the cloud, or when this leader learned of it. */
    public long requestedMicros() {
        return requestedMicros;
    }

    public State state() {
        return state;
    }

    /** Returns the address at which the machine accepts commands, or null if it is not known yet. */
    public String address() {
        return address;
    }

    /** Updates the address at which the machine accepts commands; a null or empty address is ignored. */
    public void updateAddress(String newAddress) {
        if (newAddress != null && !newAddress.isEmpty()) {
            address = newAddress;
        }
    }

    /** True if an earlier leader requested the machine, so that it has probably booted already. */
    public boolean isInherited() {
        return isInherited;
    }

    public void markInherited() {
        isInherited = true;
    }

    /** True once a heartbeat with the current fencing token has shown which tasks are on the machine. */
    public boolean isReconciled() {
        return isReconciled;
    }

    public void markReconciled() {
        isReconciled = true;
    }

    /** Returns the order of the machine's heartbeats, which identifies stale ones. */
    public HeartbeatOrder heartbeatOrder() {
        return heartbeatOrder;
    }

    /** Returns the evidence on whether responses reach the machine. */
    public Responsiveness responsiveness() {
        return responsiveness;
    }

    /** Returns the evidence on whether the machine fails or slows down its tasks. */
    public MachineHealth health() {
        return health;
    }

    /**
     * Accepts a heartbeat as the newest of the machine. Returns false, and changes nothing, if it is stale: a newer one
     * was accepted already, or its agent epoch has ended. The tasks in a delayed or duplicated heartbeat may have ended
     * since.
     *
     * @param direct true if it came in the response to a command that was sent to the machine
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

    /**
     * Records that a heartbeat is answered with status 200. If that response arrives, it renews the machine's lease.
     *
     * @param expiryMicros when the renewed lease expires at the latest
     */
    public void recordHeartbeatAnswered(long expiryMicros) {
        responsiveness.recordHeartbeatAnswered();
        extendLease(expiryMicros);
    }

    /** Drains the machine and returns it even if tasks run on it, since nothing else is certain to end those tasks. */
    public void scheduleReturn() {
        drain();
        isReturnScheduled = true;
    }

    /** True if the machine is to be returned even if tasks run on it. */
    public boolean isReturnScheduled() {
        return isReturnScheduled;
    }

    /** Returns when the first heartbeat arrived, or -1. */
    public long upMicros() {
        return upMicros;
    }

    /** Returns when the newest heartbeat arrived, or -1. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    /** Returns the time until which tasks may be live on the machine if no further heartbeat is answered. */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /** Records that tasks may be live on the machine until the given time; an earlier expiry is ignored. */
    public void extendLease(long expiryMicros) {
        leaseExpiryMicros = Math.max(leaseExpiryMicros, expiryMicros);
    }

    /** True if an earlier leader may have launched tasks here, which it does only on machines stored as up. */
    public boolean mayHoldInheritedTasks() {
        return scaleOutRequest.isStoredAsUp(name);
    }

    /** Returns when the spot instance is interrupted, or -1 if no interruption was announced. */
    public long interruptionAtMicros() {
        return interruptionAtMicros;
    }

    /** True if the cloud has announced a spot interruption. */
    public boolean isInterrupted() {
        return interruptionAtMicros >= 0;
    }

    /**
     * Returns since when the machine has been idle. Only calls of this method notice that it is busy, so the result is
     * accurate to the interval between calls.
     */
    public long idleSinceMicros(long nowMicros) {
        if (liveTaskCount() > 0) {
            idleSinceMicros = nowMicros;
        }
        return idleSinceMicros;
    }

    /** True if no work would be lost with the machine: no live task and no completion that is not stored yet. */
    public boolean isEmpty() {
        return !allocations.hasUnfinishedWork();
    }

    /** Returns when the machine first appeared in the cloud's list of machines, or -1. */
    public long firstListedMicros() {
        return firstListedMicros;
    }

    /** Records that the machine is in the cloud's list of machines. */
    public void recordListed(long nowMicros) {
        if (firstListedMicros < 0) {
            firstListedMicros = nowMicros;
        }
    }

    /** Stops placing tasks on the machine; it is returned to the cloud once it is empty. */
    public void drain() {
        if (state == State.PROVISIONING || state == State.UP) {
            state = State.DRAINING;
        }
    }

    /** Records that the return of the machine is requested from the cloud. */
    public void markReturning() {
        state = State.RETURNING;
    }

    /** Returns a view of the tasks on the machine, live or ended. */
    public Collection<Allocation> allocations() {
        return allocations.all();
    }

    /** Returns the allocation of the task's attempt, or null if the machine has none. */
    public Allocation allocation(String uid, int index, long attempt) {
        return allocations.find(uid, index, attempt);
    }

    /** Adds a task, and counts it as allocated if it is live. */
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

    /** True if the image is probably cached, so that a task starts without pulling it. */
    public boolean hasImage(Image image) {
        return images.contains(image);
    }

    /** Returns how many more tasks the machine may have, regardless of its free resources. */
    public int freeTaskSlots() {
        return Math.max(0, MAX_TASKS - allocations.size());
    }

    /** Returns the free CPUs; 0 on a machine without free task slots. */
    public double freeCpus() {
        return freeTaskSlots() == 0 ? 0 : type.cpus() - allocations.usage().cpus();
    }

    public double freeRamGb() {
        return type.ramGb() - allocations.usage().ramGb();
    }

    public double freeGpus() {
        return type.gpus() - allocations.usage().gpus();
    }

    /** Returns the number of live tasks. */
    public int liveTaskCount() {
        return allocations.usage().tasks();
    }

    /** Invalidates the resource usage after a task was added, has ended or was removed. */
    void invalidateUsage() {
        allocations.usage().invalidate();
    }

    /** Returns how many more tasks of the job fit into the free resources. */
    public int fittingTasks(JobSpec spec) {
        int fitting = PlacementConstraints.fittingTasks(spec, freeCpus(), freeRamGb(), freeGpus());
        return Math.min(fitting, freeTaskSlots());
    }
}
