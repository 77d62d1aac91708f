package io.sillreel.peer;

/**
 * The status that a controller sends to its peers about once a second.
 *
 * @param node the name of the controller
 * @param leader the name of the leader that the controller knows; null if it knows none
 * @param term the term of that leader; 0 if it knows none
 * @param isStoreReachable true if the state service has answered the controller recently
 * @param workerCount how many workers send their heartbeats to the controller
 * @param isServing true if the controller can get these heartbeats answered, by itself or by the leader
 * @param unansweredHeartbeats how many heartbeats the controller could not get answered in the last two seconds
 */
public record Hello(
        String node,
        String leader,
        long term,
        boolean isStoreReachable,
        int workerCount,
        boolean isServing,
        int unansweredHeartbeats) {}
