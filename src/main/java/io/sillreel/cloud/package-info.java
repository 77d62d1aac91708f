/**
 * Client of the cloud that provides worker machines.
 *
 * <p>{@link io.sillreel.cloud.CloudClient} sends requests within this controller's share of the request rate;
 * {@link io.sillreel.cloud.MachineTypeCatalog} keeps the available machine types and their prices current. The catalog
 * is the only state that outlives a request. It is also stored under the key {@code flavors} of the state service, so
 * that a controller that starts during an outage of the cloud knows the machine types.
 */
package io.sillreel.cloud;
