package io.sillreel.leadership;

import io.sillreel.cloud.CloudClient;
import io.sillreel.http.HttpClient;
import io.sillreel.statestore.StateStore;

/**
 * The clients through which a leader reaches the services that it depends on.
 *
 * @param store the state store
 * @param cloud the interface of the cloud
 * @param httpClient for requests to the agents of machines
 */
public record TermServices(StateStore store, CloudClient cloud, HttpClient httpClient) {}
