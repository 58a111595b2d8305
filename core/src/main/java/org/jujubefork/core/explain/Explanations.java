package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.ownership.Sharding;
import org.jujubefork.core.placement.FleetUsage;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;
import org.jujubefork.core.requests.CallerRequest;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Explains why requests and teams wait and why workers accept no work. The methods only read the
 * state. They may iterate over all workers of a shard, which the handling of events never does.
 */
public final class Explanations {
    private Explanations() {}

    /** Explains the current state of {@code request}; empty if this entry does not know it. */
    public static Optional<RequestExplanation> request(State state, RequestId request) {
        Optional<CallerRequest> received =
                Optional.ofNullable(state.requests().active().get(request));
        for (ShardState shard : state.shards().values()) {
            Optional<QueuedWork.Request> queued = shard.queue().request(request);
            if (queued.isPresent()) {
                return Optional.of(explainQueued(state, shard, queued.get()));
            }
        }
        Optional<RunningTask> task = findPlaced(state, request);
        if (task.isPresent()) {
            return task.map(t -> explainPlaced(state, request, t, received));
        }
        return received.map(r -> explainReceived(state, r));
    }

    private static Optional<RunningTask> findPlaced(State state, RequestId request) {
        return state.shards().values().stream()
                .flatMap(s -> s.tasks().values().stream())
                .filter(t -> t.origin().map(o -> o.request().equals(request)).orElse(false))
                .findFirst();
    }

    private static RequestExplanation explainQueued(
            State state, ShardState shard, QueuedWork.Request work) {
        Optional<Configuration> configuration = state.configuration();
        return new RequestExplanation(
                work.origin().request(),
                work.team(),
                RequestExplanation.Stage.QUEUED,
                work.waitingSinceMillis(),
                Optional.of(work.deadlineMillis()),
                Optional.of(shard.id()),
                Optional.empty(),
                Optional.empty(),
                configuration
                        .map(c -> WaitReasons.of(state, shard, work))
                        .orElse(TreePVector.singleton(Wait.of(WaitReason.NO_CONFIGURATION))),
                configuration.map(
                        c -> RejectionCounts.of(shard, Scheduler.demand(state, shard, work))));
    }

    private static RequestExplanation explainPlaced(
            State state, RequestId request, RunningTask task, Optional<CallerRequest> received) {
        return new RequestExplanation(
                request,
                task.spec().team(),
                RequestExplanation.Stage.PLACED,
                task.placedAtMillis(),
                received.map(CallerRequest::deadlineMillis),
                shardOf(state, task.worker()),
                Optional.empty(),
                Optional.of(task.worker()),
                TreePVector.empty(),
                Optional.empty());
    }

    private static RequestExplanation explainReceived(State state, CallerRequest request) {
        RequestExplanation.Stage stage =
                switch (request.phase()) {
                    case CLAIMING, WAITING -> RequestExplanation.Stage.CLAIMING;
                    case SETTLING -> RequestExplanation.Stage.SETTLING;
                    case FORWARDED, LOCAL -> RequestExplanation.Stage.FORWARDED;
                };
        boolean isStoreWritePending =
                stage == RequestExplanation.Stage.CLAIMING
                        || stage == RequestExplanation.Stage.SETTLING;
        Wait wait =
                request.shard().isEmpty() || isStoreWritePending
                        ? Wait.of(
                                isStoreWritePending
                                        ? WaitReason.STORE_WRITE_PENDING
                                        : WaitReason.OTHER_OWNER)
                        : WaitReasons.inRemoteShard(
                                state, request.shard().get(), request.queue().team());
        return new RequestExplanation(
                request.id(),
                request.queue().team(),
                stage,
                request.arrivedAtMillis(),
                Optional.of(request.deadlineMillis()),
                request.shard(),
                request.owner().map(Object::toString),
                Optional.empty(),
                TreePVector.singleton(wait),
                Optional.empty());
    }

    /** Explains the current state of {@code team}; empty if it is not configured. */
    public static Optional<TeamExplanation> team(State state, TeamId team) {
        return state.configuration().flatMap(c -> c.team(team).map(t -> team(state, c, t)));
    }

    private static TeamExplanation team(State state, Configuration configuration, Team team) {
        Resources usage = FleetUsage.of(state, team.id());
        int queuedCount = 0;
        for (ShardId shard : state.fleet().byShard().keySet()) {
            queuedCount +=
                    ShardOwners.find(state, shard)
                            .map(o -> o.summary().teams().get(team.id()))
                            .map(l -> l.queued())
                            .orElse(0);
        }
        Optional<OldestWork> oldest = OldestWork.find(state, team.id());
        double dominantShare = usage.dominantShareOf(FleetUsage.capacity(state));
        double entitledShare = team.weight() / configuration.totalWeight();
        return new TeamExplanation(
                team.id(),
                team.weight(),
                entitledShare,
                dominantShare,
                usage,
                team.limit(),
                queuedCount,
                oldest.map(o -> o.work().waitingSinceMillis()),
                queuedCount == 0
                        ? TreePVector.empty()
                        : teamWaits(state, team, oldest, dominantShare > entitledShare));
    }

    private static PVector<Wait> teamWaits(
            State state, Team team, Optional<OldestWork> oldest, boolean isAboveShare) {
        PVector<Wait> waits = TreePVector.empty();
        if (!ConfigurationFreshness.isFresh(state)) {
            waits = waits.plus(Wait.of(WaitReason.CONFIGURATION_NOT_FRESH));
        }
        if (oldest.isPresent()) {
            return waits.plusAll(WaitReasons.of(state, oldest.get().shard(), oldest.get().work()));
        }
        for (ShardId shard : state.fleet().byShard().keySet()) {
            boolean hasQueuedWork =
                    ShardOwners.find(state, shard)
                            .map(o -> o.summary().teams().get(team.id()))
                            .map(l -> l.queued() > 0)
                            .orElse(false);
            waits =
                    hasQueuedWork
                            ? waits.plus(WaitReasons.inRemoteShard(state, shard, team.id()))
                            : waits;
        }
        return isAboveShare ? waits.plus(Wait.of(WaitReason.BEHIND_OTHER_TEAMS)) : waits;
    }

    /** Explains the current state of {@code worker}; empty if it is not on the VM list. */
    public static Optional<WorkerExplanation> worker(State state, WorkerId worker) {
        WorkerListing listing = state.fleet().workers().get(worker);
        Optional<ShardId> shard = shardOf(state, worker);
        if (listing == null || shard.isEmpty()) {
            return Optional.empty();
        }
        Optional<WorkerState> workerState =
                Optional.ofNullable(state.shards().get(shard.get())).flatMap(s -> s.worker(worker));
        Optional<String> owner = ShardOwners.ownerName(state, shard.get());
        return Optional.of(
                new WorkerExplanation(
                        worker,
                        shard.get(),
                        owner,
                        workerState
                                .map(Explanations::condition)
                                .orElse(
                                        owner.isPresent()
                                                ? WorkerExplanation.Condition.OTHER_OWNER
                                                : WorkerExplanation.Condition.NO_OWNER),
                        workerState
                                .filter(w -> w.incarnation() != 0)
                                .map(WorkerState::grantedRequestSentAtMillis),
                        workerState.map(WorkerState::capacity).orElse(listing.capacity()),
                        workerState.map(WorkerState::committed).orElse(Resources.ZERO),
                        workerState.map(w -> w.tasks().size()).orElse(0)));
    }

    private static WorkerExplanation.Condition condition(WorkerState worker) {
        if (worker.phase() == WorkerPhase.ACQUIRING) {
            return WorkerExplanation.Condition.ACQUIRING;
        }
        if (worker.phase() == WorkerPhase.UNREACHABLE) {
            return WorkerExplanation.Condition.UNREACHABLE;
        }
        if (worker.isEligible()) {
            return WorkerExplanation.Condition.ACTIVE;
        }
        return worker.leaving()
                ? WorkerExplanation.Condition.LEAVING
                : WorkerExplanation.Condition.QUARANTINED;
    }

    private static Optional<ShardId> shardOf(State state, WorkerId worker) {
        WorkerListing listing = state.fleet().workers().get(worker);
        int shardsPerZone = state.configuration().map(Configuration::shardsPerZone).orElse(1);
        return Optional.ofNullable(listing).map(l -> Sharding.shardOf(l.location(), shardsPerZone));
    }
}
