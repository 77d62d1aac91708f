package io.sillreel.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The settings that the platform provides to a controller, validated by {@link SettingsReader}. Immutable.
 *
 * @param localController this controller
 * @param members the other controllers of the deployment
 * @param clockSkewMicros maximum difference between the clocks of two machines
 * @param scheduling team quotas and service-level objectives
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
     * The external services that the controllers use.
     *
     * @param cloudAddress host:port of the cloud
     * @param stateAddress host:port of the state service
     */
    public record ExternalServices(String cloudAddress, CloudLimits cloud, String stateAddress, StateLimits state) {}

    /**
     * Team quotas and service-level objectives.
     *
     * @param teams quotas by team name
     */
    public record SchedulingPolicy(Map<String, Team> teams, List<Objective> objectives) {}

    /**
     * The quota of a team.
     *
     * @param guaranteedCpus processors that the team receives before other teams exceed their guarantees
     * @param maxCpus maximum number of processors of the team; 0 for no limit
     * @param guaranteedGpus accelerators that the team receives before other teams exceed their guarantees
     * @param maxGpus maximum number of accelerators of the team; 0 for no limit
     */
    public record Team(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

    /**
     * A service-level objective for the start or the end of jobs.
     *
     * @param kind kind of the objective as the platform names it; empty if it is not specified
     * @param jobClass class of the jobs to which the objective applies; empty if it is not specified
     * @param withinMicros time within which a job must start or end; 0 if it is not specified
     * @param share fraction of the jobs that must meet the objective, from 0 to 1
     */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {}

    /**
     * Timing of the worker agents.
     *
     * @param heartbeatIntervalMicros time between two heartbeats of an agent
     * @param leaseMicros time without a heartbeat after which a machine's lease expires
     * @param cancelMicros time after a cancellation within which all tasks of the job must end
     */
    public record WorkerTimes(long heartbeatIntervalMicros, long leaseMicros, long cancelMicros) {}

    /**
     * Limits of the state service. The service may lower them to the announced limits at any time, so writes must fit
     * both the current and the announced limits. The rates are the current ones: the rate limiters adapt to rejections.
     *
     * @param maxTransactionChanges changes in one transaction: the smaller of the current and the announced limit
     */
    public record StateLimits(
            double requestsPerSecond, double writesPerSecond, ValueLimits values, int maxTransactionChanges) {}

    /**
     * Limits of the cloud.
     *
     * @param listLagMicros maximum staleness of the machine list
     */
    public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

    /** The resources that the platform allocates to this process; memory in megabytes. */
    public record Resources(double cores, double memoryMb, int maxSockets) {}

    /** Returns the name of this controller. */
    public String nodeName() {
        return localController.nodeName();
    }

    /** Returns the quotas by team name. */
    public Map<String, Team> teams() {
        return scheduling.teams();
    }

    /** Returns the service-level objectives. */
    public List<Objective> objectives() {
        return scheduling.objectives();
    }

    /** Returns the limits of the state service. */
    public StateLimits state() {
        return services.state();
    }

    /** Returns the limits of the cloud. */
    public CloudLimits cloud() {
        return services.cloud();
    }

    /** Returns the number of controllers, including this one. */
    public int controllerCount() {
        return members.size() + 1;
    }

    /** Returns the other controller with the name, if there is one. */
    public Optional<Member> findMember(String name) {
        return members.stream().filter(member -> member.nodeName().equals(name)).findFirst();
    }
}
