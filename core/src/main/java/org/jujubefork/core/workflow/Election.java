package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.LeaderSignal;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

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
    private static final long LEADER_WITHOUT_STORE_TIMEOUT_MILLIS = 400;

    /**
     * Maximum time since this entry's last contact with the store at which it considers the store
     * reachable.
     */
    private static final long MAX_STORE_CONTACT_AGE_MILLIS = 1_400;

    /**
     * Minimum time between two claims of one entry; a jitter derived from the entry's name is
     * added.
     */
    private static final long MIN_CLAIM_INTERVAL_MILLIS = 250;

    private static final int MAX_CLAIM_JITTER_MILLIS = 200;

    private Election() {}

    static WorkflowTransition claimIfNeeded(WorkflowState state) {
        Leadership leadership = state.leadership();
        boolean claimDisallowed =
                leadership.leads()
                        || leadership.claimInFlight()
                        || leadership.resigning()
                        || !leadership.storeRead()
                        || state.now() < leadership.nextClaimAt()
                        || state.configuration().isEmpty();
        Optional<String> reason = claimDisallowed ? Optional.empty() : claimReason(state);
        return reason.isPresent() ? claim(state, reason.get()) : WorkflowTransition.of(state);
    }

    private static Optional<String> claimReason(WorkflowState state) {
        Leadership leadership = state.leadership();
        if (leadership.leaderRecord().isEmpty()) {
            return Optional.of("no-leader");
        }
        LeaderRecord leader = leadership.leaderRecord().get();
        if (leader.entry().equals(state.entry())) {
            return Optional.of("own-earlier-life");
        }
        if (leadership.connectionRefusedAt() >= 0) {
            return Optional.of("leader-process-gone");
        }
        boolean leaderUnreachable =
                state.now() - leadership.leaderSeenAt()
                        > WorkflowLimits.LEADER_CONTACT_TIMEOUT_MILLIS;
        if (leaderUnreachable && !leader.leaseValid()) {
            return Optional.of("leader-silent");
        }
        boolean storeReachable =
                state.now() - leadership.confirmedAt() < MAX_STORE_CONTACT_AGE_MILLIS;
        boolean leaderWithoutStore =
                leadership.leaderWithoutStoreSince() >= 0
                        && state.now() - leadership.leaderWithoutStoreSince()
                                > LEADER_WITHOUT_STORE_TIMEOUT_MILLIS;
        return leaderWithoutStore && storeReachable
                ? Optional.of("leader-without-store")
                : Optional.empty();
    }

    private static WorkflowTransition claim(WorkflowState state, String reason) {
        Leadership leadership = state.leadership();
        long revision = leadership.leaderRecord().map(LeaderRecord::revision).orElse(0L);
        long term = leadership.leaderRecord().map(LeaderRecord::term).orElse(0L) + 1;
        return WorkflowTransition.of(state.with(leadership.withClaim(true, 0)))
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
        boolean fromLeader =
                !leadership.leads()
                        && leadership
                                .leaderRecord()
                                .map(LeaderRecord::address)
                                .equals(Optional.of(event.leader()));
        if (!fromLeader) {
            return WorkflowTransition.of(state);
        }
        Leadership next =
                switch (event.signal()) {
                    case LeaderSignal.HEARTBEAT -> leadership.withHeartbeat(event.at(), true);
                    case LeaderSignal.HEARTBEAT_WITHOUT_STORE ->
                            leadership.withHeartbeat(event.at(), false);
                    case LeaderSignal.CONNECTION_REFUSED, LeaderSignal.RESIGNED ->
                            leadership.withConnectionRefused(event.at());
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
                int jitter = Math.floorMod(state.entry().hashCode(), MAX_CLAIM_JITTER_MILLIS);
                yield WorkflowTransition.of(
                        state.with(
                                leadership.withClaim(
                                        false, state.now() + MIN_CLAIM_INTERVAL_MILLIS + jitter)));
            }
        };
    }

    private static WorkflowTransition lead(WorkflowState state, ClaimResult.Won won) {
        long revision = state.leadership().leaderRecord().map(LeaderRecord::revision).orElse(0L);
        if (revision > won.leader().revision()) {
            return WorkflowTransition.of(state.with(state.leadership().withClaim(false, 0)));
        }
        // The store confirms no earlier leader after the claim, so older leases expire by this
        // time.
        long runsUntil =
                WorkflowLimits.addLeaseMargin(
                        state.now() + WorkflowLimits.MAX_LEASE_AFTER_CONFIRMATION_MILLIS);
        PMap<String, FinishedJob> finished = HashTreePMap.empty();
        for (FinishedJob finishedJob : won.snapshot().finished()) {
            finished = finished.plus(finishedJob.id(), finishedJob);
        }
        PMap<String, Job> jobs = HashTreePMap.empty();
        PVector<String> unremovedJobs = TreePVector.empty();
        for (Job job : won.snapshot().jobs()) {
            if (finished.containsKey(job.id())) {
                unremovedJobs = unremovedJobs.plus(job.id());
                continue;
            }
            Job recovered =
                    job.with(job.acceptance().onLocalClock(state.now(), state.wallMillis()));
            // Workers may report runs of occurrences that became due before the takeover.
            jobs = jobs.plus(job.id(), Schedules.withDueOccurrences(recovered, state.wallMillis()));
        }
        PMap<String, WorkerNode> workers = HashTreePMap.empty();
        for (WorkerNode.Listing listing : won.snapshot().fleet()) {
            workers =
                    workers.plus(
                            listing.id(),
                            WorkerNode.of(listing, runsUntil).withListing(listing, false));
        }
        CommitQueue queue =
                CommitQueue.NONE.recovered(
                        won.leader().revision(),
                        HashTreePSet.from(workers.keySet()),
                        unremovedJobs,
                        HashTreePSet.from(
                                finished.values().stream().map(FinishedJob::bucket).toList()));
        WorkflowState next =
                state.with(state.leadership().leading(won.leader(), state.now()))
                        .withJobs(jobs)
                        .withFinished(finished)
                        .withWorkers(workers)
                        .with(queue)
                        .with(state.adviceRequests().cleared())
                        .withPlacementDue(true);
        return WorkflowTransition.of(next)
                .with(new WorkflowEffect.LeaderChanged(won.leader(), true))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "lead",
                                won.leader().term(),
                                "fence",
                                won.leader().revision(),
                                "jobs",
                                jobs.size(),
                                "finished",
                                finished.size(),
                                "workers",
                                workers.size()));
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
        for (CommitQueue.PendingAnswer answer : state.commitQueue().allPendingAnswers()) {
            result =
                    result.with(
                            new WorkflowEffect.Answer(
                                    answer.requestId(), new WorkflowEffect.Reply.NotLeading()));
        }
        return result.withState(
                state.with(state.leadership().withLeadershipLost())
                        .withJobs(HashTreePMap.empty())
                        .withFinished(HashTreePMap.empty())
                        .withWorkers(HashTreePMap.empty())
                        .with(CommitQueue.NONE)
                        .with(state.adviceRequests().cleared()));
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
}
