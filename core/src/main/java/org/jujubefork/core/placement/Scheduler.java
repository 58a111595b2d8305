package org.jujubefork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;

/** Places the work that waits in a shard, in fair order, as far as workers have room. */
public final class Scheduler {
    private Scheduler() {}

    /** Places waiting work of {@code shard} until nothing more fits. */
    public static Transition run(State state, ShardId shard) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        Configuration configuration = state.configuration().get();
        Resources capacity = FleetUsage.capacity(state);
        Set<LaneKey> blocked = new HashSet<>();
        Transition result = Transition.of(state);
        while (true) {
            State current = result.state();
            Optional<LaneKey> next = next(current, shard, configuration, capacity, blocked);
            if (next.isEmpty()) {
                return result;
            }
            Optional<Transition> placed = placeHead(current, shard, configuration, next.get());
            if (placed.isEmpty()) {
                blocked.add(next.get());
            } else {
                result = result.then(s -> placed.get());
            }
        }
    }

    private static Optional<LaneKey> next(
            State state,
            ShardId shard,
            Configuration configuration,
            Resources capacity,
            Set<LaneKey> blocked) {
        Lane lane = null;
        List<LaneKey> candidates = new ArrayList<>();
        for (LaneKey key : state.shards().get(shard).queue().lanes().keySet()) {
            if (blocked.contains(key)) {
                continue;
            }
            if (lane != null && key.lane() != lane) {
                break;
            }
            lane = key.lane();
            candidates.add(key);
        }
        if (candidates.size() <= 1) {
            return candidates.stream().findFirst();
        }
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                key -> rank(state, shard, configuration, capacity, key)));
    }

    private static double rank(
            State state,
            ShardId shard,
            Configuration configuration,
            Resources capacity,
            LaneKey key) {
        Map.Entry<Long, QueuedWork> head =
                state.shards().get(shard).queue().head(key).orElseThrow();
        double weight = configuration.team(key.team()).map(Team::weight).orElse(1.0);
        double share = FleetUsage.of(state, key.team()).dominantShareOf(capacity) / weight;
        return order(configuration, head.getValue().kind())
                .rank(new QueueOrder.TeamView(share, head.getValue().sinceMillis()));
    }

    private static QueueOrder order(Configuration configuration, WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> QueueOrders.named(p.order()))
                .orElse(QueueOrders.WEIGHTED_FAIR);
    }

    private static PlacementPolicy placement(Configuration configuration, WorkKind kind) {
        KindPolicy policy = configuration.policies().get(kind);
        return Optional.ofNullable(policy)
                .flatMap(p -> PlacementPolicies.named(p.placement()))
                .orElse(
                        kind.isRequest()
                                ? PlacementPolicies.LEAST_LOADED
                                : PlacementPolicies.BEST_FIT);
    }

    private static Optional<Transition> placeHead(
            State state, ShardId shard, Configuration configuration, LaneKey key) {
        ShardState owned = state.shards().get(shard);
        Map.Entry<Long, QueuedWork> head = owned.queue().head(key).orElseThrow();
        WorkQueue rest = owned.queue().minus(new WorkQueue.Position(key, head.getKey()));
        State taken = state.withShard(owned.withQueue(rest));
        return switch (head.getValue()) {
            case QueuedWork.Request work ->
                    placeOne(
                            taken,
                            shard,
                            configuration,
                            work,
                            head.getKey(),
                            requestSpec(owned, work, head.getKey()),
                            Optional.of(work.origin()));
            case QueuedWork.Task work ->
                    placeOne(
                            taken,
                            shard,
                            configuration,
                            work,
                            head.getKey(),
                            taskSpec(owned, work, work.index(), work.attempt(), head.getKey()),
                            Optional.empty());
            case QueuedWork.Gang work ->
                    placeGang(taken, shard, configuration, work, head.getKey());
        };
    }

    private static Optional<Transition> placeOne(
            State state,
            ShardId shard,
            Configuration configuration,
            QueuedWork work,
            long sequence,
            TaskSpec spec,
            Optional<RequestOrigin> origin) {
        ShardState owned = state.shards().get(shard);
        if (!Limits.allows(state, owned, work.team(), work.size())) {
            return Optional.empty();
        }
        Demand demand = Demand.of(work, configuration.tuning());
        Optional<WorkerId> worker =
                placement(configuration, work.kind()).choose(owned.index(), demand);
        return worker.map(w -> start(state, shard, spec, w, work.sinceMillis(), origin));
    }

    private static Optional<Transition> placeGang(
            State state,
            ShardId shard,
            Configuration configuration,
            QueuedWork.Gang gang,
            long sequence) {
        Transition result = Transition.of(state);
        for (int index = 0; index < gang.tasks(); index++) {
            State current = result.state();
            ShardState owned = current.shards().get(shard);
            TaskSpec spec = gangSpec(owned, gang, index, sequence);
            Optional<Transition> placed =
                    placeOne(current, shard, configuration, gang, sequence, spec, Optional.empty());
            if (placed.isEmpty()) {
                return Optional.empty();
            }
            result = result.then(s -> placed.get());
        }
        return Optional.of(result);
    }

    private static Transition start(
            State state,
            ShardId shard,
            TaskSpec spec,
            WorkerId worker,
            long sinceMillis,
            Optional<RequestOrigin> origin) {
        ShardState owned = state.shards().get(shard);
        WorkerState chosen = owned.workers().get(worker);
        RunningTask task = RunningTask.starting(spec, worker, state.nowMillis(), origin);
        return Jobs.taskPlaced(state.withShard(owned.place(task)), shard, task)
                .with(
                        new WorkerEffect.StartTask(
                                worker,
                                chosen.listing().address(),
                                owned.epoch(),
                                chosen.incarnation(),
                                spec,
                                origin.map(RequestOrigin::request)))
                .with(
                        new LogDecision(
                                DecisionKind.PLACED,
                                spec.id().value(),
                                Optional.of(spec.team()),
                                worker.value(),
                                spec.kind().name(),
                                owned.index().byFree().size() - 1,
                                state.nowMillis() - sinceMillis));
    }

    private static TaskSpec requestSpec(ShardState shard, QueuedWork.Request work, long sequence) {
        return new TaskSpec(
                taskId(work.origin().request().value(), shard, sequence),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.empty(),
                "");
    }

    private static TaskSpec taskSpec(
            ShardState shard, QueuedWork.Task work, int index, int attempt, long sequence) {
        return new TaskSpec(
                taskId(work.job() + "/" + index, shard, sequence),
                work.team(),
                work.queue(),
                work.kind(),
                work.size(),
                Optional.of(new JobTask(work.job(), index, attempt)),
                work.payload());
    }

    private static TaskSpec gangSpec(
            ShardState shard, QueuedWork.Gang work, int index, long sequence) {
        return new TaskSpec(
                taskId(work.job() + "/" + index, shard, sequence),
                work.team(),
                work.queue(),
                WorkKind.GANG,
                work.size(),
                Optional.of(new JobTask(work.job(), index, work.attempt())),
                work.payload());
    }

    /** Returns an id that no other placement has: the sequence is unique under the epoch. */
    private static TaskId taskId(String subject, ShardState shard, long sequence) {
        return TaskId.of(
                subject + ":" + shard.id() + "." + shard.epoch().number() + "." + sequence);
    }

    /** Returns how much {@code team} uses of the fleet, divided by its weight. */
    public static double weightedShare(State state, TeamId team) {
        double weight =
                state.configuration().flatMap(c -> c.team(team)).map(Team::weight).orElse(1.0);
        return FleetUsage.of(state, team).dominantShareOf(FleetUsage.capacity(state)) / weight;
    }
}
