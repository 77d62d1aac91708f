package io.sillreel.leadership;

/**
 * A term for which this controller was elected.
 *
 * @param term the number of the term, which is also the fencing token of its leader
 * @param leaderRevision the revision of the leader key at the election: the condition of all writes of the term
 */
public record TermGrant(long term, long leaderRevision) {}
