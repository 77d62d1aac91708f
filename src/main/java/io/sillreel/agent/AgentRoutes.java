package io.sillreel.agent;

/** The routes between worker agents and controllers. */
public final class AgentRoutes {
    /** Where controllers take heartbeats. */
    public static final String HEARTBEAT = "/agent/beat";
    /** Where agents take direct commands; they answer with a heartbeat. */
    public static final String COMMANDS = "/do";
    /** Where agents answer a status query with a heartbeat. */
    public static final String STATUS = "/status";

    private AgentRoutes() {}
}
