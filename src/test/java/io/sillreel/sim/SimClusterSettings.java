package io.sillreel.sim;

/**
 * The size and the rates of a simulated cluster.
 *
 * @param nodes controllers
 * @param cpusMax the CPU quota of the team, 0 for none
 * @param machines the capacity of the cloud
 * @param cloudRate the request rate limit of the cloud, per second
 * @param sockets the socket limit of each controller
 * @param tickMicros the interval at which a worker checks its tasks
 */
public record SimClusterSettings(
        int nodes,
        double cpusMax,
        int machines,
        WorkerSeconds workers,
        double cloudRate,
        int sockets,
        long tickMicros) {
    /** The heartbeat interval, the machine lease and the time within which a cancelled task has to end, in seconds. */
    public record WorkerSeconds(double report, double lease, double cancel) {}

    /** Announces future limits, which the previous version does not support. */
    private static final String ANNOUNCED_LIMITS = """
            [params.state.next]
            write_rps = 60.0
            value_kb = 2.0
            txn_ops = 6
            """;

    private static final String PARAMS = """
            [endpoints]
            cloud = "cloud:1"
            state = "state:1"
            [params]
            zones = ["a", "b"]
            skew_ms = 10.0
            [[params.teams]]
            name = "t"
            cpus_max = %s
            [params.workers]
            report_s = %s
            lease_s = %s
            cancel_s = %s
            [params.state]
            rps = 500.0
            write_rps = 100.0
            value_kb = 8.0
            txn_ops = 20
            %s
            [params.cloud]
            rps = %s
            list_lag_s = 2.0
            [params.resources]
            cores = 1.0
            memory_mb = 200.0
            max_sockets = %d
            """;

    /** Returns a small deployment with frequent heartbeats. */
    public static SimClusterSettings small(int nodes, double cpusMax) {
        return new SimClusterSettings(nodes, cpusMax, 20, new WorkerSeconds(1, 12, 26), 10, 500, 50_000);
    }

    /** Returns a deployment with thousands of machines. */
    public static SimClusterSettings large(int nodes, int machines, double cpusMax) {
        return new SimClusterSettings(
                nodes, cpusMax, machines, new WorkerSeconds(3, 18, 38), 20, 2 * machines, 500_000);
    }

    /** Returns a copy with another socket limit per controller. */
    public SimClusterSettings withSockets(int newSockets) {
        return new SimClusterSettings(nodes, cpusMax, machines, workers, cloudRate, newSockets, tickMicros);
    }

    /**
     * Returns the contents of the settings file of one controller.
     *
     * @param announced whether the file announces future limits; the previous version does not know that field
     */
    public String toml(int node, boolean announced) {
        StringBuilder toml = new StringBuilder("""
                node_name = "hopper-%1$d"
                area = "a"
                public_addr = "10.0.0.%1$d:8080"
                internal_addr = "10.0.0.%1$d:8081"
                """.formatted(node));
        for (int other = 0; other < nodes; other++) {
            if (other != node) {
                toml.append("""
                        [[members]]
                        node_name = "hopper-%1$d"
                        area = "a"
                        address = "10.0.0.%1$d:8081"
                        """.formatted(other));
            }
        }
        return toml.append(PARAMS.formatted(
                        cpusMax,
                        workers.report(),
                        workers.lease(),
                        workers.cancel(),
                        announced ? ANNOUNCED_LIMITS : "",
                        cloudRate,
                        sockets))
                .toString();
    }
}
