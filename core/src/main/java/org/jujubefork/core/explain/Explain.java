package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Freshness;
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
import org.jujubefork.core.requests.FrontRequest;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Answers why something waits or does not take work. It reads the state only; a question may look
 * at all workers of a shard, which no event does.
 */
public final class Explain {
    private Explain() {}

    /** Returns how {@code request} stands, if this entry knows it. */
    public static Optional<RequestExplanation> request(State state, RequestId request) {
        Optional<FrontRequest> front = Optional.ofNullable(state.requests().active().get(request));
        for (ShardState shard : state.shards().values()) {
            Optional<QueuedWork.Request> waiting = shard.queue().request(request);
            if (waiting.isPresent()) {
                return Optional.of(queued(state, shard, waiting.get()));
            }
        }
        Optional<RunningTask> placed = placed(state, request);
        if (placed.isPresent()) {
            return placed.map(t -> placed(state, request, t, front));
        }
        return front.map(f -> elsewhere(state, f));
    }

    private static Optional<RunningTask> placed(State state, RequestId request) {
        return state.shards().values().stream()
                .flatMap(s -> s.tasks().values().stream())
                .filter(t -> t.origin().map(o -> o.request().equals(request)).orElse(false))
                .findFirst();
    }

    private static RequestExplanation queued(
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
                        .map(c -> Waits.of(state, shard, work))
                        .orElse(TreePVector.singleton(Wait.of(WaitReason.NO_CONFIGURATION))),
                configuration.map(c -> Rejections.of(shard, Scheduler.demand(state, shard, work))));
    }

    private static RequestExplanation placed(
            State state, RequestId request, RunningTask task, Optional<FrontRequest> front) {
        return new RequestExplanation(
                request,
                task.spec().team(),
                RequestExplanation.Stage.PLACED,
                task.placedAtMillis(),
                front.map(FrontRequest::deadlineMillis),
                shardOf(state, task.worker()),
                Optional.empty(),
                Optional.of(task.worker()),
                TreePVector.empty(),
                Optional.empty());
    }

    private static RequestExplanation elsewhere(State state, FrontRequest request) {
        RequestExplanation.Stage stage =
                switch (request.phase()) {
                    case CLAIMING, WAITING -> RequestExplanation.Stage.CLAIMING;
                    case SETTLING -> RequestExplanation.Stage.SETTLING;
                    case FORWARDED, LOCAL -> RequestExplanation.Stage.FORWARDED;
                };
        boolean writing =
                stage == RequestExplanation.Stage.CLAIMING
                        || stage == RequestExplanation.Stage.SETTLING;
        Wait wait =
                request.shard().isEmpty() || writing
                        ? Wait.of(writing ? WaitReason.STORE_WRITE_PENDING : WaitReason.OTHER_OWNER)
                        : Waits.elsewhere(state, request.shard().get(), request.queue().team());
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

    /** Returns how {@code team} stands, if the configuration has it. */
    public static Optional<TeamExplanation> team(State state, TeamId team) {
        return state.configuration().flatMap(c -> c.team(team).map(t -> team(state, c, t)));
    }

    private static TeamExplanation team(State state, Configuration configuration, Team team) {
        Resources usage = FleetUsage.of(state, team.id());
        int queued = 0;
        for (ShardId shard : state.fleet().byShard().keySet()) {
            queued +=
                    Owners.of(state, shard)
                            .map(o -> o.summary().teams().get(team.id()))
                            .map(l -> l.queued())
                            .orElse(0);
        }
        Optional<FirstWork> first = FirstWork.of(state, team.id());
        double share = usage.dominantShareOf(FleetUsage.capacity(state));
        double entitled = team.weight() / configuration.totalWeight();
        return new TeamExplanation(
                team.id(),
                team.weight(),
                entitled,
                share,
                usage,
                team.limit(),
                queued,
                first.map(f -> f.work().waitingSinceMillis()),
                queued == 0
                        ? TreePVector.empty()
                        : teamWaits(state, team, first, share > entitled));
    }

    private static PVector<Wait> teamWaits(
            State state, Team team, Optional<FirstWork> first, boolean aboveShare) {
        PVector<Wait> waits = TreePVector.empty();
        if (!Freshness.isFresh(state)) {
            waits = waits.plus(Wait.of(WaitReason.CONFIGURATION_NOT_FRESH));
        }
        if (first.isPresent()) {
            return waits.plusAll(Waits.of(state, first.get().shard(), first.get().work()));
        }
        for (ShardId shard : state.fleet().byShard().keySet()) {
            boolean queued =
                    Owners.of(state, shard)
                            .map(o -> o.summary().teams().get(team.id()))
                            .map(l -> l.queued() > 0)
                            .orElse(false);
            waits = queued ? waits.plus(Waits.elsewhere(state, shard, team.id())) : waits;
        }
        return aboveShare ? waits.plus(Wait.of(WaitReason.BEHIND_OTHER_TEAMS)) : waits;
    }

    /** Returns how {@code worker} stands, if it is on the VM list. */
    public static Optional<WorkerExplanation> worker(State state, WorkerId worker) {
        WorkerListing listing = state.fleet().workers().get(worker);
        Optional<ShardId> shard = shardOf(state, worker);
        if (listing == null || shard.isEmpty()) {
            return Optional.empty();
        }
        Optional<WorkerState> own =
                Optional.ofNullable(state.shards().get(shard.get())).flatMap(s -> s.worker(worker));
        Optional<String> owner = Owners.name(state, shard.get());
        return Optional.of(
                new WorkerExplanation(
                        worker,
                        shard.get(),
                        owner,
                        own.map(Explain::condition)
                                .orElse(
                                        owner.isPresent()
                                                ? WorkerExplanation.Condition.OTHER_OWNER
                                                : WorkerExplanation.Condition.NO_OWNER),
                        own.filter(w -> w.incarnation() != 0)
                                .map(WorkerState::grantedRequestSentAtMillis),
                        own.map(WorkerState::capacity).orElse(listing.capacity()),
                        own.map(WorkerState::committed).orElse(Resources.ZERO),
                        own.map(w -> w.tasks().size()).orElse(0)));
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
        int perZone = state.configuration().map(Configuration::shardsPerZone).orElse(1);
        return Optional.ofNullable(listing).map(l -> Sharding.shardOf(l.location(), perZone));
    }
}
