package io.sillreel.leadership;

import io.sillreel.cloud.CloudClient;
import io.sillreel.http.HttpClient;
import io.sillreel.statestore.StateStore;

/**
 * The clients of the services that a leader depends on.
 *
 * @param store client of the state service
 * @param cloud the cloud provider's API
 * @param httpClient sends requests to agents and to other controllers
 */
public record TermServices(StateStore store, CloudClient cloud, HttpClient httpClient) {}
