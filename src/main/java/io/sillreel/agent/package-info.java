/**
 * Messages between controllers and worker agents, and the only place that knows their wire format: heartbeats
 * ({@link io.sillreel.agent.HeartbeatCodec}) and commands ({@link io.sillreel.agent.AgentCommands}). Stateless.
 */
package io.sillreel.agent;
