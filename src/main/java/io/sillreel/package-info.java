/**
 * The controller as a whole.
 *
 * <p>{@link io.sillreel.Controller} builds all parts and passes requests to them; {@link io.sillreel.cli.Main} creates
 * it with real time and network, tests with simulated ones. The state here is the term that the controller leads, if it
 * leads one, and the clients and limits that outlive a term. Everything runs on one event loop.
 */
package io.sillreel;
