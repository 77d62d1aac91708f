package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.CloudClient.Listed;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.cloud.MachineType;
import io.sillreel.http.Loop;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.Cluster;
import io.sillreel.placement.RentalRequest;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.KeyWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents, follows and returns machines while this controller holds the lease. */
public final class FleetKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(FleetKeeper.class);
    private static final long LIST_EVERY_MICROS = 5_000_000;
    private static final long FULL_PAUSE_MICROS = 20_000_000;
    private static final long RENTAL_RETRY_MICROS = 2_000_000;
    private static final long LEAST_BOOT_PATIENCE_MICROS = 75_000_000;
    private static final int BOOT_PATIENCE_FACTOR = 3;
    private static final int RENTALS_AT_ONCE = 6;
    private static final int MOST_RETURNED = 100;
    private static final long LEAST_UNHEARD_MICROS = 8_000_000;
    private static final int MOST_UNHEARD_PART = 4;
    private static final int FEW_UNHEARD_PART = 100;
    /** A report with the new token follows the first one by half a second, and both may pass through a follower. */
    private static final long ROUND_MICROS = 1_500_000;

    private static final long LATE_MICROS = 1_000_000;
    /** A recalled machine is returned so long before the cloud would take it. */
    private static final long LAST_MOMENT_MICROS = 1_500_000;
    /** A worker whose controller is gone waits 4 s for its answer and 1 s before it tries another. */
    private static final long DETOUR_MICROS = 5_500_000;
    /** Silent machines are given up one by one only while they are so few. */
    private static final int MOST_LOST_PART = 50;

    private static final double SILENT_LEASES = 2.5;

    private final Loop loop;
    private final long term;
    private final Cluster cluster;
    private final CloudClient cloud;
    private final KeyWriter writer;
    private final Settings settings;
    private final OperatorProperties operator;
    private final CapacityPlanner capacity;
    private final Supplier<Map<String, MachineType>> types;
    private final BooleanSupplier mayAct;
    private final BooleanSupplier undisturbed;
    private final Consumer<Machine> clear;

    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private final Set<String> gone = new HashSet<>();
    private final Map<String, Long> strangers = new HashMap<>();
    private final Set<Rental> wentDown = new LinkedHashSet<>();
    private final List<Long> lostMicros = new ArrayList<>();
    private final long begunMicros;
    private long manySilentMicros = Long.MIN_VALUE / 2;
    private long names;
    private long listedMicros = Long.MIN_VALUE / 2;
    private boolean listing;
    private boolean returning;

    /**
     * @param mayAct true while rentals and returns are allowed
     * @param undisturbed true if no worker has had to look for another controller lately
     */
    public FleetKeeper(
            Loop loop,
            long term,
            Cluster cluster,
            CloudClient cloud,
            KeyWriter writer,
            Settings settings,
            OperatorProperties operator,
            CapacityPlanner capacity,
            Supplier<Map<String, MachineType>> types,
            BooleanSupplier mayAct,
            BooleanSupplier undisturbed,
            Consumer<Machine> clear) {
        this.loop = loop;
        this.term = term;
        this.cluster = cluster;
        this.cloud = cloud;
        this.writer = writer;
        this.settings = settings;
        this.operator = operator;
        this.capacity = capacity;
        this.types = types;
        this.mayAct = mayAct;
        this.undisturbed = undisturbed;
        this.clear = clear;
        this.begunMicros = loop.nowMicros();
    }

    /** Takes over a stored rental; its machines may run tasks of an earlier leader until the bound. */
    public void inherit(Rental rental, long aliveUntilMicros) {
        int most = Rental.mostMachines(settings.state().values().announcedBytes());
        if (rental.machines().size() > most) {
            rental.split(most, writer::enqueue).forEach(part -> {
                inherit(part, aliveUntilMicros);
                writer.enqueue(part);
            });
        }
        rentals.put(rental.name(), rental);
        for (String name : List.copyOf(rental.machines())) {
            MachineType type = types.get().get(rental.build());
            if (cluster.machine(name) != null) {
                // Cut off from another rental that was not written again: one of them is enough.
                rental.gone(name);
                writer.enqueue(rental);
            } else if (type != null) {
                Machine machine =
                        new Machine(name, type, rental.zone(), rental.spot(), rental, loop.nowMicros(), cluster.book());
                machine.aliveUntil(aliveUntilMicros);
                cluster.addInherited(machine);
            }
        }
    }

    public boolean isGone(String machine) {
        return gone.contains(machine);
    }

    /** A machine has reported: it is stored as up before it may be given tasks. */
    public void cameUp(Machine machine) {
        if (machine.rental().cameUp(machine.name())) {
            writer.enqueue(machine.rental());
        }
    }

    /** A machine was silent for longer than anything could live on it: stored soon, with others of its rental. */
    public void wentDown(Machine machine) {
        if (machine.rental().wentDown(machine.name())) {
            wentDown.add(machine.rental());
        }
    }

    /** A machine that no known rental brought: used from now on, once it is stored. */
    public Machine adopt(String name, String build, String zone, boolean spot) {
        MachineType type = types.get().get(build);
        if (type == null) {
            return null;
        }
        Rental rental = new Rental("adopted-" + term + "-" + ++names, build, zone, spot, 1);
        rental.answered(List.of(name));
        rentals.put(rental.name(), rental);
        LOG.info("machine {} ({}, {}) was not expected, it is taken into the fleet", name, build, zone);
        Machine machine = enter(name, rental, loop.nowMicros());
        writer.enqueue(rental);
        return machine;
    }

    private Machine enter(String name, Rental rental, long rentedMicros) {
        MachineType type = types.get().get(rental.build());
        if (type == null || cluster.machine(name) != null) {
            return cluster.machine(name);
        }
        Machine machine = new Machine(name, type, rental.zone(), rental.spot(), rental, rentedMicros, cluster.book());
        cluster.add(machine);
        strangers.remove(name);
        return machine;
    }

    /** Rents, lists and returns machines as needed; called about once a second. */
    public void tick() {
        long now = loop.nowMicros();
        synchronized (cluster) {
            retire(now);
            wentDown.stream().filter(rental -> !rental.dropped()).forEach(writer::enqueue);
            wentDown.clear();
        }
        if (!listing && now - listedMicros > LIST_EVERY_MICROS) {
            list();
        }
        giveBack();
        askAgain(now);
        rent(now);
    }

    /** Decides which machines are to go. */
    private void retire(long now) {
        for (Machine machine : cluster.machines()) {
            long sinceReport = now - Math.max(machine.lastReportMicros(), machine.rentedMicros());
            if (machine.state() == Machine.State.RENTED) {
                long patience = Math.max(
                        LEAST_BOOT_PATIENCE_MICROS,
                        BOOT_PATIENCE_FACTOR * machine.type().bootMicros());
                if (now - machine.rentedMicros() > patience && machine.leaseBoundMicros() < now) {
                    leave(machine, "it never came up");
                }
            } else if (machine.state() == Machine.State.UP) {
                // A cut zone or a machine that hangs mostly comes back; then it has its images and need not boot.
                if (machine.leaseBoundMicros() < now
                        && sinceReport > SILENT_LEASES * settings.workers().leaseMicros()) {
                    leave(machine, "it is silent");
                } else if (machine.recalled() && machine.empty()) {
                    leave(machine, "the cloud takes it back");
                }
            }
            retireRecalled(machine, now);
        }
        retireLost(now);
        retireUnheard(now);
        for (Machine machine : capacity.surplus(operator.idleMicros(), now, loop.wallMicros())) {
            leave(machine, "it has no work");
        }
    }

    /**
     * What runs on a recalled machine is lost in a moment. If the machine just vanished, its tasks would count as alive
     * until their lease ran out; once the cloud has taken it back on our word, they can start elsewhere at once.
     */
    private void retireRecalled(Machine machine, long now) {
        boolean here = machine.state() == Machine.State.UP || machine.state() == Machine.State.LEAVING;
        if (here
                && machine.recalled()
                && machine.recallAtMicros() - now < LAST_MOMENT_MICROS
                && !machine.toBeReturned()) {
            scheduleReturn(machine, "the cloud takes it back");
        }
    }

    /**
     * A single machine that falls silent has most likely been taken without notice. Returning it makes that certain
     * long before its lease does, and its tasks can start elsewhere. When many fall silent together, it is the network
     * or they hang, and they come back: then their leases are waited for.
     */
    private void retireLost(long now) {
        long patience =
                settings.workers().reportMicros() * 3 / 2 + (undisturbed.getAsBoolean() ? ROUND_MICROS : DETOUR_MICROS);
        long usual = settings.workers().reportMicros() * 5 / 4 + LATE_MICROS;
        List<Machine> lost = new ArrayList<>();
        int overdue = 0;
        int heard = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.UP && machine.trusted()) {
                long silent = now - machine.lastReportMicros();
                overdue += silent > usual ? 1 : 0;
                heard += silent > usual ? 0 : 1;
                // Past its lease there is no hurry any more, and it may be the last of many that are just coming back.
                if (silent > patience && machine.leaseBoundMicros() > now) {
                    lost.add(machine);
                }
            }
        }
        // Those that fall silent together come overdue one after the other: what was given up lately counts with them,
        // or a
        // cut zone would be given away two machines at a time.
        lostMicros.removeIf(at -> now - at > settings.workers().leaseMicros());
        if (heard == 0
                || overdue + lostMicros.size() > Math.max(2, cluster.machines().size() / MOST_LOST_PART)) {
            manySilentMicros = now;
        }
        // When those that were cut off together come back, the last of them is on its way like the others.
        if (now - manySilentMicros < DETOUR_MICROS + settings.workers().reportMicros()) {
            return;
        }
        for (Machine machine : lost) {
            scheduleReturn(machine, "it has fallen silent");
            lostMicros.add(now);
        }
    }

    /**
     * Most machines report within seconds of a takeover, and again with the new token. The few that don't, or that
     * report and don't hear the answer, would hold up every job of an earlier term for as long as their leases might
     * last; once the cloud has taken them back, it is certain that nothing runs there.
     */
    private void retireUnheard(long now) {
        int unheard = cluster.unheard().size();
        int all = cluster.machines().size();
        // One or two in a hundred are hardly on a detour, and each of them holds up every earlier job. In a small fleet
        // the
        // last one mostly is: it waits for the answer of the controller that has ended.
        long patience = unheard <= all / FEW_UNHEARD_PART
                ? settings.workers().reportMicros() * 5 / 4 + ROUND_MICROS
                : Math.max(LEAST_UNHEARD_MICROS, 2 * settings.workers().reportMicros() + 4_000_000);
        if (now - begunMicros < patience || unheard == 0 || unheard > all / MOST_UNHEARD_PART) {
            return;
        }
        for (Machine machine : cluster.unheard()) {
            if (now - Math.max(machine.upMicros(), begunMicros) > patience && !machine.toBeReturned()) {
                scheduleReturn(machine, "it has not been heard, or does not hear, since the term began");
            }
        }
    }

    private static void leave(Machine machine, String reason) {
        tell(machine, reason);
        machine.leave(reason);
    }

    private static void scheduleReturn(Machine machine, String reason) {
        tell(machine, reason);
        machine.scheduleReturn(reason);
    }

    private static void tell(Machine machine, String reason) {
        LOG.info(
                "machine {} ({}, {}{}) is to be returned: {}",
                machine.name(),
                machine.type().name(),
                machine.zone(),
                machine.spot() ? ", spot" : "",
                reason);
    }

    /** Returns machines that are leaving and empty, or silent for longer than their tasks can live. */
    private void giveBack() {
        List<Machine> empty = new ArrayList<>();
        synchronized (cluster) {
            for (Machine machine : cluster.machines()) {
                boolean leaving =
                        machine.state() == Machine.State.LEAVING || machine.state() == Machine.State.RETURNING;
                if (leaving && (machine.toBeReturned() || machine.empty()) && empty.size() < MOST_RETURNED) {
                    empty.add(machine);
                }
            }
        }
        if (empty.isEmpty() || returning || !mayAct.getAsBoolean()) {
            return;
        }
        returning = true;
        List<String> machines = empty.stream().map(Machine::name).toList();
        empty.forEach(Machine::returning);
        cloud.giveBack(machines).thenAccept(outcome -> {
            returning = false;
            if (outcome == Outcome.OK) {
                synchronized (cluster) {
                    empty.forEach(this::remove);
                }
                LOG.info("returned {}", machines);
            }
        });
    }

    private void remove(Machine machine) {
        clear.accept(machine);
        cluster.remove(machine);
        gone.add(machine.name());
        machine.rental().gone(machine.name());
        if (machine.rental().dropped()) {
            rentals.remove(machine.rental().name());
        }
        writer.enqueue(machine.rental());
    }

    private void list() {
        listing = true;
        long asked = loop.nowMicros();
        cloud.machines().thenAccept(answer -> {
            listing = false;
            listedMicros = loop.nowMicros();
            if (answer.outcome() == Outcome.OK) {
                synchronized (cluster) {
                    compare(answer.machines(), asked);
                }
            }
        });
    }

    private void compare(List<Listed> listed, long asked) {
        Set<String> present = new HashSet<>();
        for (Listed entry : listed) {
            present.add(entry.name());
            Machine machine = cluster.machine(entry.name());
            if (machine == null) {
                stranger(entry, asked);
                continue;
            }
            machine.listed(loop.nowMicros());
            machine.address(entry.address());
            if (entry.stage().equals("failed")) {
                LOG.info("machine {} has failed", machine.name());
                clear.accept(machine);
                machine.leave("it has failed");
            }
        }
        long lag = 2 * settings.cloud().listLagMicros() + 1_000_000;
        for (Machine machine : List.copyOf(cluster.machines())) {
            // A list may be older than the one before; what it lacks is gone only if it surely describes a later time.
            if (!present.contains(machine.name())
                    && machine.firstListedMicros() >= 0
                    && asked > machine.firstListedMicros() + lag
                    && machine.state() != Machine.State.RETURNING) {
                LOG.info("machine {} is gone from the cloud's list", machine.name());
                remove(machine);
            }
        }
        strangers.keySet().retainAll(present);
    }

    private void stranger(Listed entry, long asked) {
        if (gone.contains(entry.name())) {
            return;
        }
        // It may be the answer to a call still under way, so a second look decides.
        Long first = strangers.putIfAbsent(entry.name(), asked);
        boolean pending = rentals.values().stream().anyMatch(rental -> !rental.answered());
        if (first == null || pending && asked - first < 30_000_000) {
            return;
        }
        Machine machine = adopt(entry.name(), entry.build(), entry.zone(), entry.spot());
        if (machine != null) {
            machine.address(entry.address());
            machine.listed(asked);
            if (entry.stage().equals("failed")) {
                machine.leave("it has failed");
            }
        }
    }

    private void rent(long now) {
        // A rental is stored before the cloud is asked, so it waits while the store can't keep up with what is as
        // urgent.
        if (!mayAct.getAsBoolean() || writer.pressing() > settings.state().txnOps()) {
            return;
        }
        List<RentalRequest> rentalRequests;
        synchronized (cluster) {
            long pending = 0;
            long pendingOrdinary = 0;
            int open = 0;
            for (Rental rental : rentals.values()) {
                if (!rental.answered()) {
                    MachineType type = types.get().get(rental.build());
                    long cpus = type == null ? 0 : Math.round(type.cpus() * rental.count());
                    pending += cpus;
                    pendingOrdinary += rental.spot() ? 0 : cpus;
                    open++;
                }
            }
            if (open >= RENTALS_AT_ONCE) {
                return;
            }
            rentalRequests =
                    capacity.rentalRequests(types.get().values(), pending, pendingOrdinary, now, loop.wallMicros());
        }
        for (RentalRequest rentalRequest : rentalRequests) {
            int count = Math.min(
                    rentalRequest.count(),
                    Rental.mostMachines(settings.state().values().announcedBytes()));
            Rental rental = new Rental(
                    "r-" + term + "-" + ++names,
                    rentalRequest.type().name(),
                    rentalRequest.zone(),
                    rentalRequest.spot(),
                    count);
            rentals.put(rental.name(), rental);
            rental.onStored(() -> ask(rental));
            writer.enqueue(rental);
        }
    }

    private void askAgain(long now) {
        for (Rental rental : List.copyOf(rentals.values())) {
            if (!rental.answered()
                    && !rental.dropped()
                    && rental.stamp() > 0
                    && now - rental.askedMicros() > RENTAL_RETRY_MICROS + 6_000_000) {
                ask(rental);
            }
        }
    }

    private void ask(Rental rental) {
        if (!mayAct.getAsBoolean() || rental.answered() || rental.dropped()) {
            return;
        }
        rental.askedMicros(loop.nowMicros());
        cloud.rent(rental.name(), rental.build(), rental.zone(), rental.spot(), rental.count())
                .thenAccept(rented -> {
                    synchronized (cluster) {
                        rented(rental, rented);
                    }
                });
    }

    private void rented(Rental rental, CloudClient.Rented rented) {
        long now = loop.nowMicros();
        if (rental.answered() || rental.dropped()) {
            // Asked twice, since an answer seemed lost: the first one counts, and what it brought may be at work.
            return;
        }
        switch (rented.outcome()) {
            case OK -> {
                LOG.info(
                        "rented {} of {} {} in {}{} as {}",
                        rented.machines().size(),
                        rental.count(),
                        rental.build(),
                        rental.zone(),
                        rental.spot() ? ", spot" : "",
                        rental.name());
                List<String> fresh = rented.machines().stream()
                        .filter(name -> cluster.machine(name) == null && !gone.contains(name))
                        .toList();
                rental.answered(fresh);
                fresh.forEach(name -> enter(name, rental, now));
                if (rented.machines().size() < rental.count()) {
                    capacity.full(rental.build(), rental.zone(), rental.spot(), now + FULL_PAUSE_MICROS);
                }
                if (fresh.isEmpty()) {
                    forget(rental);
                }
                writer.enqueue(rental);
            }
            case NO_CAPACITY -> {
                capacity.full(rental.build(), rental.zone(), rental.spot(), now + FULL_PAUSE_MICROS);
                forget(rental);
                writer.enqueue(rental);
            }
            case REFUSED -> {
                if (rental.maybeExecuted()) {
                    rental.askedMicros(now - 6_000_000);
                } else {
                    // Surely rented nothing; the request is formed anew when the cloud answers again.
                    capacity.full(rental.build(), rental.zone(), rental.spot(), now + RENTAL_RETRY_MICROS);
                    forget(rental);
                    writer.enqueue(rental);
                }
            }
            default -> {
                LOG.info("the rental {} got no answer, asking again under the same name", rental.name());
                rental.maybeExecuted(true);
                rental.askedMicros(now - 6_000_000);
            }
        }
    }

    private void forget(Rental rental) {
        rental.drop();
        rentals.remove(rental.name());
    }
}
