package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A cloud after the protocol's page. Its machines are {@link MachineStandIn}s. */
final class CloudStandIn {
    record Build(String sku, double vcpus, double ramGb, double price, double spotPrice, double bootSeconds) {}

    /** Decides over one request before it is handled; may wait. Null handles it as usual. */
    interface Trouble {
        Desk.Answer before(String method, String path, JsonNode body) throws InterruptedException;
    }

    private static final class Rental {
        String name;
        Build build;
        String zone;
        boolean isSpot;
        double rentedAt;
        double upAt = Double.MAX_VALUE;
        double goneAt = Double.MAX_VALUE;
        MachineStandIn machine;
    }

    private final Judge judge;
    private final List<Build> builds;
    private final List<String> zones;
    private final List<String> nodes;
    private final double lagSeconds;
    private final double reportSeconds;
    private final double leaseSeconds;
    private final int capacity;
    /** The capacity of single offers, as "build/zone/spot" or "build/zone/ordinary"; others are limited by the whole. */
    private final Map<String, Integer> offers;
    private final Desk desk;
    private final TreeMap<String, Rental> rentals = new TreeMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private volatile Trouble trouble = (method, path, body) -> null;
    /** The factor on the nominal boot time. */
    volatile double bootFactor = 0.06;

    /**
     * @param capacity the largest number of machines at a time
     * @param offers the capacity of single offers
     */
    CloudStandIn(
            Judge judge,
            List<Build> builds,
            List<String> zones,
            List<String> nodes,
            double lagSeconds,
            double reportSeconds,
            double leaseSeconds,
            int capacity,
            Map<String, Integer> offers)
            throws IOException {
        this.judge = judge;
        this.builds = builds;
        this.zones = zones;
        this.nodes = nodes;
        this.lagSeconds = lagSeconds;
        this.reportSeconds = reportSeconds;
        this.leaseSeconds = leaseSeconds;
        this.capacity = capacity;
        this.offers = offers;
        this.desk = new Desk((method, path, query, body) -> {
            Desk.Answer early = trouble.before(method, path, body);
            return early != null ? early : handle(method, path, query, body);
        });
    }

    String address() {
        return desk.address();
    }

    void trouble(Trouble newTrouble) {
        trouble = newTrouble;
    }

    /** The machines that are up. */
    synchronized List<MachineStandIn> machines() {
        List<MachineStandIn> up = new ArrayList<>();
        for (Rental rental : rentals.values()) {
            if (rental.machine != null && !rental.machine.gone) {
                up.add(rental.machine);
            }
        }
        return up;
    }

    private synchronized Desk.Answer handle(String method, String path, String query, JsonNode body) {
        switch (method + " " + path) {
            case "GET /flavors":
                return Desk.Answer.of(200, flavors());
            case "POST /machines":
                return rent(body);
            case "POST /machines/return":
                body.path("hoppers").forEach(name -> giveBack(name.asText()));
                return Desk.Answer.of(200, Wire.object());
            case "GET /machines":
                return list(query);
            default:
                return Desk.Answer.error(400, "malformed");
        }
    }

    private ObjectNode flavors() {
        ObjectNode answer = Wire.object();
        ArrayNode all = answer.putArray("builds");
        for (Build build : builds) {
            ArrayNode yards = all.addObject()
                    .put("sku", build.sku())
                    .put("vcpus", build.vcpus())
                    .put("cards", 0.0)
                    .put("ram_gb", build.ramGb())
                    .put("cache_gb", 40.0)
                    .put("pull_gb_per_s", 0.6)
                    .put("price", build.price())
                    .put("spot_price", build.spotPrice())
                    .put("boot_s", build.bootSeconds())
                    .putArray("yards");
            zones.forEach(yards::add);
        }
        return answer;
    }

    private Desk.Answer rent(JsonNode body) {
        String hire = body.path("hire").asText();
        List<String> names = hires.get(hire);
        if (names == null) {
            long inUse = rentals.values().stream().filter(each -> each.goneAt == Double.MAX_VALUE).count();
            Build build = builds.stream()
                    .filter(each -> each.sku().equals(body.path("build").asText()))
                    .findFirst()
                    .orElse(null);
            if (build == null || body.path("count").asInt() < 1 || body.path("count").asInt() > 50) {
                return Desk.Answer.error(400, "malformed");
            }
            String offer = offer(build, body.path("yard").asText(), body.path("loaners").asBoolean());
            long inOffer = rentals.values().stream()
                    .filter(each -> each.goneAt == Double.MAX_VALUE
                            && offer(each.build, each.zone, each.isSpot).equals(offer))
                    .count();
            int count = (int) Math.min(
                    body.path("count").asInt(),
                    Math.min(capacity - inUse, offers.getOrDefault(offer, capacity) - inOffer));
            if (count <= 0) {
                judge.note("no capacity", "no capacity for " + body);
                return Desk.Answer.error(503, "no capacity");
            }
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Rental rental = new Rental();
                rental.name = String.format("host-%06d", rentals.size() + 1);
                rental.build = build;
                rental.zone = body.path("yard").asText();
                rental.isSpot = body.path("loaners").asBoolean();
                rental.rentedAt = judge.seconds();
                rentals.put(rental.name, rental);
                names.add(rental.name);
                Thread boot = new Thread(() -> boot(rental), "boot");
                boot.setDaemon(true);
                boot.start();
            }
            hires.put(hire, names);
            judge.note("rented", "rented " + names + " for " + body);
        }
        ObjectNode answer = Wire.object();
        ArrayNode list = answer.putArray("hoppers");
        names.forEach(list::add);
        return Desk.Answer.of(200, answer);
    }

    private static String offer(Build build, String zone, boolean isSpot) {
        return build.sku() + "/" + zone + (isSpot ? "/spot" : "/ordinary");
    }

    private void boot(Rental rental) {
        try {
            Thread.sleep((long) (1_000 * rental.build.bootSeconds() * bootFactor));
            synchronized (this) {
                if (rental.goneAt == Double.MAX_VALUE) {
                    rental.upAt = judge.seconds();
                    rental.machine = new MachineStandIn(
                            rental.name,
                            rental.build,
                            rental.zone,
                            rental.isSpot,
                            judge,
                            nodes,
                            reportSeconds,
                            leaseSeconds);
                }
            }
        } catch (InterruptedException | IOException e) {
            judge.note("a machine did not boot: " + e);
        }
    }

    private void giveBack(String name) {
        Rental rental = rentals.get(name);
        if (rental != null && rental.goneAt == Double.MAX_VALUE) {
            rental.goneAt = judge.seconds();
            judge.note("returned", "returned " + name);
            if (rental.machine != null) {
                rental.machine.vanish();
            }
        }
    }

    /** The cloud takes the machine away. */
    synchronized void takeAway(MachineStandIn machine) {
        rentals.get(machine.name).goneAt = judge.seconds();
        machine.vanish();
    }

    private Desk.Answer list(String query) {
        String since = Desk.parameter(query, "since", "");
        int limit = Math.min(500, Integer.parseInt(Desk.parameter(query, "limit", "500")));
        double seen = judge.seconds() - lagSeconds;
        ObjectNode answer = Wire.object();
        ArrayNode page = answer.putArray("hoppers");
        boolean truncated = false;
        for (Rental rental : rentals.tailMap(since, false).values()) {
            if (rental.rentedAt > seen || rental.goneAt <= seen) {
                continue;
            }
            if (page.size() == limit) {
                truncated = true;
                break;
            }
            page.addObject()
                    .put("uid", rental.name)
                    .put("addr", rental.machine == null ? "" : rental.machine.address())
                    .put("build", rental.build.sku())
                    .put("yard", rental.zone)
                    .put("loaners", rental.isSpot)
                    .put("stage", rental.upAt <= seen ? "running" : "starting")
                    .put("age_s", seen - rental.rentedAt);
        }
        return Desk.Answer.of(200, answer.put("truncated", truncated));
    }
}
