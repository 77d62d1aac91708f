package io.sillreel.peer;

/**
 * What a controller tells the others about itself, about once a second.
 *
 * @param node the name of the controller
 * @param leader the name of the controller that it knows to lead; null if it knows none
 * @param term the term of that leader; 0 if it knows none
 * @param isStoreReachable true if the state store has answered it lately
 * @param workerCount how many workers send it their heartbeats
 * @param isServing true if it can have these heartbeats answered
 * @param unansweredHeartbeats how many heartbeats it could not have answered within the last two seconds
 */
public record Hello(
        String node,
        String leader,
        long term,
        boolean isStoreReachable,
        int workerCount,
        boolean isServing,
        int unansweredHeartbeats) {}
