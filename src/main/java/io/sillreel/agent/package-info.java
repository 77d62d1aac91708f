/**
 * Messages between controllers and worker agents. Their wire format is confined to this package: heartbeats
 * ({@link io.sillreel.agent.HeartbeatCodec}) and commands ({@link io.sillreel.agent.AgentCommands}). Stateless.
 */
package io.sillreel.agent;
