/**
 * The controller as a whole.
 *
 * <p>{@link io.sillreel.Controller} creates all components and routes requests to them; {@link io.sillreel.cli.Main}
 * creates it with a real clock and network, tests with simulated ones. The state of this package is the term that the
 * controller leads, if any, and the clients and limits that outlive a term. Everything runs on one event loop.
 */
package io.sillreel;
