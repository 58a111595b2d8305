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
 * Who leads. The store's record decides: it is replaced under the condition of its revision, and
 * that revision is the fencing token which workers keep.
 *
 * <p>An entry tries to lead when there is no leader, when the leader's process is gone, when it is
 * silent and its lease in the store has ended, or when only the leader has lost the store.
 */
final class Election {
    /** How long the leader must say that it has no store before another entry replaces it. */
    private static final long WITHOUT_STORE_MILLIS = 400;

    /** Greatest age of an own contact with the store that shows the store to be up. */
    private static final long STORE_CONTACT_MILLIS = 1_400;

    /** Least time between two attempts; a part that depends on the name is added. */
    private static final long CLAIM_PAUSE_MILLIS = 250;

    private static final int CLAIM_SPREAD_MILLIS = 200;

    private Election() {}

    static WorkflowTransition tick(WorkflowState state) {
        Leadership now = state.leadership();
        boolean wait =
                now.leads()
                        || now.claiming()
                        || now.resigned()
                        || !now.read()
                        || state.now() < now.claimAfter()
                        || state.configuration().isEmpty();
        Optional<String> reason = wait ? Optional.empty() : reasonToClaim(state);
        return reason.isPresent() ? claim(state, reason.get()) : WorkflowTransition.of(state);
    }

    private static Optional<String> reasonToClaim(WorkflowState state) {
        Leadership now = state.leadership();
        if (now.known().isEmpty()) {
            return Optional.of("no-leader");
        }
        LeaderRecord leader = now.known().get();
        if (leader.entry().equals(state.entry())) {
            return Optional.of("own-earlier-life");
        }
        if (now.refusedAt() >= 0) {
            return Optional.of("leader-process-gone");
        }
        boolean silent = state.now() - now.aliveAt() > WorkflowLimits.LEADER_SILENCE_MILLIS;
        if (silent && !leader.lease()) {
            return Optional.of("leader-silent");
        }
        boolean storeUp = state.now() - now.confirmedAt() < STORE_CONTACT_MILLIS;
        boolean withoutStore =
                now.withoutStoreSince() >= 0
                        && state.now() - now.withoutStoreSince() > WITHOUT_STORE_MILLIS;
        return withoutStore && storeUp ? Optional.of("leader-without-store") : Optional.empty();
    }

    private static WorkflowTransition claim(WorkflowState state, String reason) {
        Leadership now = state.leadership();
        long revision = now.known().map(LeaderRecord::revision).orElse(0L);
        long term = now.known().map(LeaderRecord::term).orElse(0L) + 1;
        return WorkflowTransition.of(state.with(now.claiming(true, 0)))
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
                                now.aliveAt() < 0 ? -1 : state.now() - now.aliveAt(),
                                "store_age_ms",
                                state.now() - now.confirmedAt()));
    }

    static WorkflowTransition leaderRead(WorkflowState state, WorkflowEvent.LeaderRead event) {
        Leadership now = state.leadership();
        long known = now.known().map(LeaderRecord::revision).orElse(0L);
        long read = event.leader().map(LeaderRecord::revision).orElse(0L);
        if (read < known) {
            return WorkflowTransition.of(state);
        }
        if (read == known) {
            return WorkflowTransition.of(state.with(now.confirmed(event.leader(), event.sentAt())));
        }
        LeaderRecord leader = event.leader().get();
        if (now.claiming() && leader.entry().equals(state.entry())) {
            // The claim is being answered; its result brings the jobs along.
            return WorkflowTransition.of(state);
        }
        WorkflowTransition result =
                now.leads() ? depose(state, "replaced") : WorkflowTransition.of(state);
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

    static WorkflowTransition linkSeen(
            WorkflowState state, WorkflowEvent.LeaderSignalReceived event) {
        Leadership now = state.leadership();
        boolean ofLeader =
                !now.leads()
                        && now.known()
                                .map(LeaderRecord::address)
                                .equals(Optional.of(event.leader()));
        if (!ofLeader) {
            return WorkflowTransition.of(state);
        }
        Leadership next =
                switch (event.link()) {
                    case LeaderSignal.ALIVE -> now.alive(event.at(), true);
                    case LeaderSignal.WITHOUT_STORE -> now.alive(event.at(), false);
                    case LeaderSignal.REFUSED, LeaderSignal.RESIGNED -> now.refused(event.at());
                };
        WorkflowTransition result = WorkflowTransition.of(state.with(next));
        return event.link() == LeaderSignal.REFUSED || event.link() == LeaderSignal.RESIGNED
                ? result.then(Election::tick)
                : result;
    }

    static WorkflowTransition claimEnded(WorkflowState state, WorkflowEvent.ClaimCompleted event) {
        Leadership now = state.leadership();
        return switch (event.result()) {
            case ClaimResult.Won won -> lead(state, won);
            case ClaimResult.NotWon lost -> {
                int spread = Math.floorMod(state.entry().hashCode(), CLAIM_SPREAD_MILLIS);
                yield WorkflowTransition.of(
                        state.with(now.claiming(false, state.now() + CLAIM_PAUSE_MILLIS + spread)));
            }
        };
    }

    private static WorkflowTransition lead(WorkflowState state, ClaimResult.Won won) {
        long known = state.leadership().known().map(LeaderRecord::revision).orElse(0L);
        if (known > won.leader().revision()) {
            return WorkflowTransition.of(state.with(state.leadership().claiming(false, 0)));
        }
        // The store has confirmed no earlier leader since the claim.
        long runsUntil =
                WorkflowLimits.afterLease(state.now() + WorkflowLimits.CONFIRMED_LEASE_MILLIS);
        PMap<String, FinishedJob> finished = HashTreePMap.empty();
        for (FinishedJob ended : won.snapshot().finished()) {
            finished = finished.plus(ended.id(), ended);
        }
        PMap<String, Job> jobs = HashTreePMap.empty();
        PVector<String> ended = TreePVector.empty();
        for (Job job : won.snapshot().jobs()) {
            if (finished.containsKey(job.id())) {
                ended = ended.plus(job.id());
                continue;
            }
            Job aged = job.with(job.acceptance().onClock(state.now(), state.wallMillis()));
            // Runs that workers report belong to occurrences that were due before the takeover.
            jobs = jobs.plus(job.id(), Schedules.withDue(aged, state.wallMillis()));
        }
        PMap<String, WorkerNode> workers = HashTreePMap.empty();
        for (WorkerNode.Listing listing : won.snapshot().fleet()) {
            workers =
                    workers.plus(
                            listing.id(),
                            WorkerNode.of(listing, runsUntil).withListing(listing, false));
        }
        CommitQueue commits =
                CommitQueue.NONE.recovered(
                        won.leader().revision(),
                        HashTreePSet.from(workers.keySet()),
                        ended,
                        HashTreePSet.from(
                                finished.values().stream().map(FinishedJob::bucket).toList()));
        WorkflowState next =
                state.with(state.leadership().leading(won.leader(), state.now()))
                        .withJobs(jobs)
                        .withFinished(finished)
                        .withWorkers(workers)
                        .with(commits)
                        .with(state.desk().cleared())
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

    /** Stops leading and forgets the jobs, which the next leader reads from the store. */
    static WorkflowTransition depose(WorkflowState state, String reason) {
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
        for (CommitQueue.PendingAnswer answer : state.commits().pendingAnswers()) {
            result =
                    result.with(
                            new WorkflowEffect.Answer(
                                    answer.request(), new WorkflowEffect.Reply.NotLeading()));
        }
        return result.withState(
                state.with(state.leadership().deposed())
                        .withJobs(HashTreePMap.empty())
                        .withFinished(HashTreePMap.empty())
                        .withWorkers(HashTreePMap.empty())
                        .with(CommitQueue.NONE)
                        .with(state.desk().cleared()));
    }

    static WorkflowTransition resign(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state.with(state.leadership().resign()));
        if (!state.leadership().leads()) {
            return result;
        }
        return result.with(new WorkflowEffect.Resign())
                .with(
                        WorkflowEffect.LogEvent.of(
                                "resign", state.term(), "jobs", state.jobs().size()));
    }
}
