package io.sillreel.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the platform hands over, checked; durations in whole microseconds. */
public record Settings(
        String nodeName,
        String area,
        InetSocketAddress publicAddress,
        InetSocketAddress internalAddress,
        List<Member> members,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        long clockSkewMicros,
        Map<String, Team> teams,
        List<Objective> objectives,
        WorkerTimes workers,
        StateLimits state,
        CloudLimits cloud,
        Resources resources) {

    /** Another controller. */
    public record Member(String nodeName, String area, String address) {}

    /** A team's guarantee and limit; a maximum of 0 means no limit. */
    public record Team(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

    /** One of the users' aims for starting or finishing, as far as it steers the order of work. */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {}

    /** How often workers report, how long their leases last, and how soon the tasks of a cancelled job must be gone. */
    public record WorkerTimes(long heartbeatIntervalMicros, long leaseMicros, long cancelMicros) {}

    /**
     * What the state service takes. It may lower its limits at any moment to what was announced, so what is written is
     * never larger than both allow; rates are the present ones, and follow what is refused.
     *
     * @param maxTransactionChanges the smaller of the present limit and the announced one
     */
    public record StateLimits(
            double requestsPerSecond, double writesPerSecond, ValueLimits values, int maxTransactionChanges) {}

    /** The rate of requests that the cloud takes, and how far its machine list lags. */
    public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

    /** What the platform gives this process. */
    public record Resources(double cores, double memoryMb, int maxSockets) {}

    /** All controllers, this one included. */
    public int controllerCount() {
        return members.size() + 1;
    }

    public Optional<Member> member(String name) {
        return members.stream().filter(member -> member.nodeName().equals(name)).findFirst();
    }
}
