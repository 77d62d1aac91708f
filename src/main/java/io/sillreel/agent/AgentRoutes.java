package io.sillreel.agent;

/** The routes between worker agents and controllers. */
public final class AgentRoutes {
    /** Route on which controllers accept heartbeats. */
    public static final String HEARTBEAT = "/agent/beat";
    /** Route on which agents accept direct commands; the response is a heartbeat. */
    public static final String COMMANDS = "/do";
    /** Route on which agents accept status queries; the response is a heartbeat. */
    public static final String STATUS = "/status";

    private AgentRoutes() {}
}
