package io.sillreel;

import io.sillreel.fleet.FleetConfiguration;
import io.sillreel.heartbeat.LeaderHeartbeats;
import io.sillreel.heartbeat.LeaderLocator;
import io.sillreel.http.EventLoop;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.LeaderTerm;
import io.sillreel.leadership.TermGrant;
import io.sillreel.leadership.TermServices;
import io.sillreel.peer.CancellationCodec;
import io.sillreel.peer.Peers;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.settings.Settings.Member;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the term that this controller leads, if any: begins and ends it with the election's callbacks, and forwards
 * events to it. Runs on the event loop.
 */
final class ActiveTerm implements LeaderElection.Listener, LeaderLocator, LiveTaskCounts {
    private static final long CANCELLATION_TIMEOUT_MICROS = 2_000_000;

    private final EventLoop eventLoop;
    private final TermServices services;
    private final FleetConfiguration configuration;
    private final Peers peers;
    private final LeaderElection election;
    private final LostWriteProtection protection;
    /** Null while this controller leads no term. */
    private LeaderTerm leaderTerm;

    ActiveTerm(
            EventLoop eventLoop,
            TermServices services,
            FleetConfiguration configuration,
            Peers peers,
            LeaderElection election,
            LostWriteProtection protection) {
        this.eventLoop = eventLoop;
        this.services = services;
        this.configuration = configuration;
        this.peers = peers;
        this.election = election;
        this.protection = protection;
    }

    @Override
    public void leadershipAcquired(TermGrant grant) {
        protection.beforeTerm(grant, () -> begin(grant));
    }

    private void begin(TermGrant grant) {
        leaderTerm = new LeaderTerm(eventLoop, services, configuration, peers, election, grant);
        leaderTerm.start();
    }

    @Override
    public void leadershipLost(String reason) {
        protection.leadershipLost();
        LeaderTerm endedTerm = leaderTerm;
        leaderTerm = null;
        if (endedTerm != null) {
            endedTerm.close();
        }
    }

    @Override
    public LeaderHeartbeats ownTerm() {
        return leaderTerm;
    }

    @Override
    public Optional<Member> remoteLeader() {
        String node = election.knownLeader().node();
        return node == null ? Optional.empty() : configuration.settings().findMember(node);
    }

    @Override
    public Optional<Counts> countsOf(String uid) {
        return leaderTerm == null ? Optional.empty() : leaderTerm.countsOf(uid);
    }

    /**
     * Notifies the leader, on this or another controller, of a cancellation that this controller has stored. The leader
     * also watches the stored cancellations, but it may be the only controller that can't reach the state service.
     */
    void notifyLeaderOfCancellation(String uid) {
        if (leaderTerm != null) {
            leaderTerm.jobCancelled(uid);
        } else {
            remoteLeader()
                    .ifPresent(leader -> services.httpClient()
                            .send(leader.address(), CancellationCodec.toRequest(uid), CANCELLATION_TIMEOUT_MICROS));
        }
    }

    /** True while this controller leads a term; the term's state may not be loaded yet. */
    boolean isLeading() {
        return leaderTerm != null;
    }

    /** Forwards cancellations that another controller has stored; only called while this controller leads. */
    void jobsCancelled(List<String> uids) {
        uids.forEach(leaderTerm::jobCancelled);
    }

    /** Resigns leadership if another controller is in a better position to lead. */
    void checkReachability() {
        if (leaderTerm != null) {
            leaderTerm.checkReachability();
        }
    }

    /** The values of the term's metrics by their names. */
    Map<String, Double> gauges() {
        return leaderTerm == null ? Map.of() : leaderTerm.gauges();
    }
}
