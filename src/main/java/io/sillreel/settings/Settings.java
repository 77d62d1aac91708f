package io.sillreel.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The settings that the platform gives a controller, checked by {@link SettingsReader}. Immutable.
 *
 * @param localController this controller
 * @param members the other controllers of the deployment
 * @param clockSkewMicros the most that the clocks of two machines differ
 * @param scheduling what users and teams were promised
 */
public record Settings(
        LocalController localController,
        List<Member> members,
        ExternalServices services,
        long clockSkewMicros,
        SchedulingPolicy scheduling,
        WorkerTimes workers,
        Resources resources) {

    /**
     * This controller.
     *
     * @param publicAddress where users and agents reach it
     * @param internalAddress where the other controllers and operators reach it
     */
    public record LocalController(
            String nodeName, String area, InetSocketAddress publicAddress, InetSocketAddress internalAddress) {}

    /**
     * Another controller.
     *
     * @param address its internal address, host:port
     */
    public record Member(String nodeName, String area, String address) {}

    /**
     * The services that the controllers use.
     *
     * @param cloudAddress host:port of the cloud
     * @param stateAddress host:port of the state service
     */
    public record ExternalServices(String cloudAddress, CloudLimits cloud, String stateAddress, StateLimits state) {}

    /**
     * What users and teams were promised.
     *
     * @param teams quotas by the name of the team
     */
    public record SchedulingPolicy(Map<String, Team> teams, List<Objective> objectives) {}

    /**
     * The quota of a team.
     *
     * @param guaranteedCpus processors that the team gets before others exceed their guarantees
     * @param maxCpus processors that the team never exceeds; 0 for no limit
     * @param guaranteedGpus accelerators that the team gets before others exceed their guarantees
     * @param maxGpus accelerators that the team never exceeds; 0 for no limit
     */
    public record Team(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

    /**
     * A service-level objective for the start or the end of jobs.
     *
     * @param kind what the objective is about, in the words of the platform; empty if it gives none
     * @param jobClass the class of jobs that it holds for; empty if it gives none
     * @param withinMicros the time within which it is to happen; 0 if it gives none
     * @param share the share of jobs for which it is to hold, from 0 to 1
     */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {}

    /**
     * Times of the worker agents.
     *
     * @param heartbeatIntervalMicros time between two heartbeats of an agent
     * @param leaseMicros time without a heartbeat after which a machine's lease expires
     * @param cancelMicros time after a cancellation by which the tasks of the job have to be gone
     */
    public record WorkerTimes(long heartbeatIntervalMicros, long leaseMicros, long cancelMicros) {}

    /**
     * Limits of the state service. It may lower them at any moment to the announced ones, so what is written is never
     * larger than both allow. The rates are the present ones: the rate limiters follow what is refused.
     *
     * @param maxTransactionChanges changes of one transaction: the smaller of the present limit and the announced one
     */
    public record StateLimits(
            double requestsPerSecond, double writesPerSecond, ValueLimits values, int maxTransactionChanges) {}

    /**
     * Limits of the cloud.
     *
     * @param listLagMicros the most that its machine list lags behind
     */
    public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

    /** What the platform gives this process; memory in megabytes. */
    public record Resources(double cores, double memoryMb, int maxSockets) {}

    /** The name of this controller. */
    public String nodeName() {
        return localController.nodeName();
    }

    /** The quotas by the name of the team. */
    public Map<String, Team> teams() {
        return scheduling.teams();
    }

    /** The service-level objectives. */
    public List<Objective> objectives() {
        return scheduling.objectives();
    }

    /** The limits of the state service. */
    public StateLimits state() {
        return services.state();
    }

    /** The limits of the cloud. */
    public CloudLimits cloud() {
        return services.cloud();
    }

    /** The number of all controllers, this one included. */
    public int controllerCount() {
        return members.size() + 1;
    }

    /** Returns the other controller of that name, if there is one. */
    public Optional<Member> findMember(String name) {
        return members.stream().filter(member -> member.nodeName().equals(name)).findFirst();
    }
}
