package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.LeaderSignal;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/**
 * Election of the leader. The record in the store decides who leads: it can be replaced only by a
 * write that is conditional on its revision, and its revision is the fencing token that workers
 * check.
 *
 * <p>An entry tries to become the leader when there is no leader, when the leader's process has
 * ended, when the leader sends no heartbeats and its lease in the store has expired, or when the
 * leader cannot reach the store but this entry can.
 */
final class Election {
    /**
     * How long the leader must report that it cannot reach the store before another entry replaces
     * it.
     */
    private static final long LEADER_WITHOUT_STORE_TIMEOUT_MILLIS = 300;

    /**
     * Maximum time since this entry's last contact with the store at which it considers the store
     * reachable. A watch call holds back its answer for a second, and the next contact counts from
     * the time when that call was sent, so the age reaches two seconds while the store is
     * reachable.
     */
    private static final long MAX_STORE_CONTACT_AGE_MILLIS = 2_400;

    /**
     * Minimum time between two claims of one entry; a jitter derived from the entry's name is
     * added.
     */
    private static final long MIN_CLAIM_INTERVAL_MILLIS = 250;

    private static final int MAX_CLAIM_JITTER_MILLIS = 200;

    /** Time that an entry leaves to each entry before it in the order of succession. */
    private static final long SUCCESSION_STEP_MILLIS = 60;

    /** Maximum time that an entry leaves to the entries before it in the order of succession. */
    private static final long MAX_SUCCESSION_DELAY_MILLIS = 480;

    /** Processor capacity from which an entry without a known position claims without delay. */
    private static final int MIN_LEADER_MILLICORES = 700;

    /** Time that a smaller entry without a known position leaves to the larger ones. */
    private static final long SMALL_ENTRY_DELAY_MILLIS = 300;

    private Election() {}

    /**
     * A reason to replace the leader.
     *
     * @param name the reason as it appears in the log
     * @param since since when it has applied, in milliseconds of the monotonic clock
     */
    private record ClaimReason(String name, long since) {}

    static WorkflowTransition claimIfNeeded(WorkflowState state) {
        Optional<ClaimReason> reason = claimReason(state);
        return reason.isPresent() && state.now() >= claimAt(state, reason.get())
                ? claim(state, reason.get().name())
                : WorkflowTransition.of(state);
    }

    /** Returns when this entry next tries to become the leader, if there is a reason to. */
    static long nextClaimAt(WorkflowState state) {
        return claimReason(state).map(r -> claimAt(state, r)).orElse(Long.MAX_VALUE);
    }

    private static long claimAt(WorkflowState state, ClaimReason reason) {
        return Math.max(state.leadership().nextClaimAt(), reason.since() + claimDelayMillis(state));
    }

    /**
     * Returns how long this entry leaves the claim to others. If all entries claimed at once, the
     * winner would be any of them, and a small one is slow as the leader of a large fleet.
     */
    private static long claimDelayMillis(WorkflowState state) {
        int position = state.leadership().successionPosition();
        if (position >= 0) {
            return Math.min(MAX_SUCCESSION_DELAY_MILLIS, position * SUCCESSION_STEP_MILLIS);
        }
        boolean isSmall = state.processorMillicores() < MIN_LEADER_MILLICORES;
        return isSmall ? SMALL_ENTRY_DELAY_MILLIS + jitterMillis(state) : 0;
    }

    private static int jitterMillis(WorkflowState state) {
        return Math.floorMod(state.entry().hashCode(), MAX_CLAIM_JITTER_MILLIS);
    }

    private static Optional<ClaimReason> claimReason(WorkflowState state) {
        Leadership leadership = state.leadership();
        boolean claimDisallowed =
                leadership.leads()
                        || leadership.claimInFlight()
                        || leadership.resigning()
                        || leadership.storeFirstReadAt() < 0
                        || state.configuration().isEmpty();
        return claimDisallowed ? Optional.empty() : reasonAgainstLeader(state);
    }

    private static Optional<ClaimReason> reasonAgainstLeader(WorkflowState state) {
        Leadership leadership = state.leadership();
        if (leadership.leaderRecord().isEmpty()) {
            return Optional.of(new ClaimReason("no-leader", leadership.storeFirstReadAt()));
        }
        LeaderRecord leader = leadership.leaderRecord().get();
        if (leader.entry().equals(state.entry())) {
            return Optional.of(new ClaimReason("own-earlier-life", leadership.storeFirstReadAt()));
        }
        if (leadership.connectionRefusedAt() >= 0) {
            return Optional.of(
                    new ClaimReason("leader-process-gone", leadership.connectionRefusedAt()));
        }
        if (leadership.leaderResignedAt() >= 0) {
            return Optional.of(new ClaimReason("leader-resigned", leadership.leaderResignedAt()));
        }
        long silentAt = leadership.leaderSeenAt() + WorkflowLimits.LEADER_CONTACT_TIMEOUT_MILLIS;
        if (state.now() > silentAt && !leader.leaseValid()) {
            return Optional.of(new ClaimReason("leader-silent", silentAt));
        }
        boolean storeReachable =
                state.now() - leadership.confirmedAt() < MAX_STORE_CONTACT_AGE_MILLIS;
        long withoutStoreAt =
                leadership.leaderWithoutStoreSince() + LEADER_WITHOUT_STORE_TIMEOUT_MILLIS;
        boolean leaderWithoutStore =
                leadership.leaderWithoutStoreSince() >= 0 && state.now() > withoutStoreAt;
        return leaderWithoutStore && storeReachable
                ? Optional.of(new ClaimReason("leader-without-store", withoutStoreAt))
                : Optional.empty();
    }

    private static WorkflowTransition claim(WorkflowState state, String reason) {
        Leadership leadership = state.leadership();
        long revision = leadership.leaderRecord().map(LeaderRecord::revision).orElse(0L);
        long term = leadership.leaderRecord().map(LeaderRecord::term).orElse(0L) + 1;
        return WorkflowTransition.of(state.with(leadership.withClaimSent(state.now())))
                .with(new WorkflowEffect.Claim(revision, term))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "claim",
                                term,
                                "reason",
                                reason,
                                "replaces",
                                revision,
                                "leader_silent_ms",
                                leadership.leaderSeenAt() < 0
                                        ? -1
                                        : state.now() - leadership.leaderSeenAt(),
                                "store_age_ms",
                                state.now() - leadership.confirmedAt()));
    }

    static WorkflowTransition leaderRead(WorkflowState state, WorkflowEvent.LeaderRead event) {
        Leadership leadership = state.leadership();
        long knownRevision = leadership.leaderRecord().map(LeaderRecord::revision).orElse(0L);
        long readRevision = event.leader().map(LeaderRecord::revision).orElse(0L);
        if (readRevision < knownRevision) {
            return WorkflowTransition.of(state);
        }
        if (readRevision == knownRevision) {
            return WorkflowTransition.of(
                    state.with(leadership.confirmed(event.leader(), event.sentAt())));
        }
        LeaderRecord leader = event.leader().get();
        if (leadership.claimInFlight() && leader.entry().equals(state.entry())) {
            // The claim has succeeded. Its result, which also contains the jobs, has not arrived
            // yet.
            return WorkflowTransition.of(state);
        }
        WorkflowTransition result =
                leadership.leads()
                        ? loseLeadership(state, "replaced")
                        : WorkflowTransition.of(state);
        Leadership following =
                result.state()
                        .leadership()
                        .following(leader, state.now())
                        .confirmed(event.leader(), event.sentAt());
        return result.withState(result.state().with(following))
                .with(new WorkflowEffect.LeaderChanged(leader, false))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "follow",
                                leader.entry(),
                                "term",
                                leader.term(),
                                "revision",
                                leader.revision(),
                                "age_ms",
                                event.at() - event.sentAt()));
    }

    static WorkflowTransition leaderSignalReceived(
            WorkflowState state, WorkflowEvent.LeaderSignalReceived event) {
        Leadership leadership = state.leadership();
        if (!isFollowing(state, event.leader())) {
            return WorkflowTransition.of(state);
        }
        Leadership next =
                switch (event.signal()) {
                    case LeaderSignal.HEARTBEAT -> leadership.withHeartbeat(event.at(), true);
                    case LeaderSignal.HEARTBEAT_WITHOUT_STORE ->
                            leadership.withHeartbeat(event.at(), false);
                    case LeaderSignal.CONNECTION_REFUSED ->
                            leadership.withConnectionRefused(event.at());
                    case LeaderSignal.RESIGNED -> leadership.withLeaderResigned(event.at());
                };
        WorkflowTransition result = WorkflowTransition.of(state.with(next));
        return event.signal() == LeaderSignal.CONNECTION_REFUSED
                        || event.signal() == LeaderSignal.RESIGNED
                ? result.then(Election::claimIfNeeded)
                : result;
    }

    static WorkflowTransition claimCompleted(
            WorkflowState state, WorkflowEvent.ClaimCompleted event) {
        Leadership leadership = state.leadership();
        return switch (event.result()) {
            case ClaimResult.Won won -> lead(state, won);
            case ClaimResult.NotWon lost -> {
                long nextClaimAt = state.now() + MIN_CLAIM_INTERVAL_MILLIS + jitterMillis(state);
                yield WorkflowTransition.of(state.with(leadership.withClaim(false, nextClaimAt)));
            }
        };
    }

    static WorkflowTransition followersChanged(
            WorkflowState state, WorkflowEvent.FollowersChanged event) {
        PMap<String, Integer> followers = event.followers();
        WorkflowTransition result =
                AdviceDispatcher.advisorsChanged(
                        state, HashTreePSet.from(followers.keySet()).plus(state.entry()));
        return state.leadership().leads()
                ? result.with(new WorkflowEffect.AnnounceSuccession(successors(followers)))
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "followers", state.term(), "count", followers.size()))
                : result;
    }

    /** Returns the entries in the order in which they replace the leader: the largest first. */
    private static List<String> successors(PMap<String, Integer> followers) {
        return followers.keySet().stream()
                .sorted(Comparator.comparing((String e) -> -followers.get(e)).thenComparing(e -> e))
                .toList();
    }

    static WorkflowTransition successionAnnounced(
            WorkflowState state, WorkflowEvent.SuccessionAnnounced event) {
        return WorkflowTransition.of(
                isFollowing(state, event.leader())
                        ? state.with(state.leadership().withSuccessionPosition(event.position()))
                        : state);
    }

    private static boolean isFollowing(WorkflowState state, String leaderAddress) {
        Leadership leadership = state.leadership();
        return !leadership.leads()
                && leadership
                        .leaderRecord()
                        .map(LeaderRecord::address)
                        .equals(Optional.of(leaderAddress));
    }

    private static WorkflowTransition lead(WorkflowState state, ClaimResult.Won won) {
        long revision = state.leadership().leaderRecord().map(LeaderRecord::revision).orElse(0L);
        if (revision > won.leader().revision()) {
            return WorkflowTransition.of(state.with(state.leadership().withClaim(false, 0)));
        }
        WorkflowState next = Takeover.lead(state, won);
        WorkflowTransition result =
                WorkflowTransition.of(next)
                        .with(new WorkflowEffect.LeaderChanged(won.leader(), true))
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "lead",
                                        won.leader().term(),
                                        "fence",
                                        won.leader().revision(),
                                        "jobs",
                                        next.jobs().size(),
                                        "finished",
                                        next.finished().size(),
                                        "workers",
                                        next.workers().size(),
                                        "silent",
                                        next.commitQueue().storedSilentWorkers().size()))
                        .with(policiesLine(next));
        result = result.then(s -> ZoneEvacuation.readByClaim(s, won.snapshot().evacuations()));
        // The shutdown may have begun while the claim was in flight.
        return next.leadership().resigning() ? result.then(Election::resign) : result;
    }

    /** Stops leading and drops the jobs, which the next leader reads from the store. */
    static WorkflowTransition loseLeadership(WorkflowState state, String reason) {
        WorkflowTransition result =
                WorkflowTransition.of(state)
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "deposed",
                                        state.term(),
                                        "reason",
                                        reason,
                                        "jobs",
                                        state.jobs().size()));
        CommitQueue queue = state.commitQueue();
        for (CommitQueue.PendingAnswer answer : queue.allPendingAnswers()) {
            WorkflowEffect.Reply reply =
                    queue.isInFlight(answer.job())
                            ? new WorkflowEffect.Reply.OutcomeUnknown()
                            : new WorkflowEffect.Reply.NotLeading();
            result = result.with(new WorkflowEffect.Answer(answer.requestId(), reply));
        }
        return result.withState(
                state.with(state.leadership().withLeadershipLost())
                        .withJobs(HashTreePMap.empty())
                        .withFinished(HashTreePMap.empty())
                        .withWorkers(HashTreePMap.empty())
                        .with(CommitQueue.NONE)
                        .with(state.adviceRequests().cleared())
                        .with(WaitingSteps.NONE)
                        .with(Recovery.NONE));
    }

    static WorkflowTransition resign(WorkflowState state) {
        WorkflowTransition result =
                WorkflowTransition.of(state.with(state.leadership().asResigning()));
        if (!state.leadership().leads()) {
            return result;
        }
        return result.with(new WorkflowEffect.Resign())
                .with(
                        WorkflowEffect.LogEvent.of(
                                "resign", state.term(), "jobs", state.jobs().size()));
    }

    private static WorkflowEffect policiesLine(WorkflowState state) {
        SchedulingPolicies.Names names = state.policies().names();
        return WorkflowEffect.LogEvent.of(
                "scheduling-policies",
                state.term(),
                "order",
                names.order(),
                "share",
                names.share(),
                "durations",
                names.durations(),
                "retry",
                names.retry());
    }
}
