package org.jujubefork.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.TaskPhase;

/** Stops work of teams that have more running than their budget. */
final class Excess {
    /** Time between two stop commands for the same task; a command or its answer can be lost. */
    static final long REPEAT_MILLIS = 5_000;

    /** Batch before gang before service, the newest first. */
    private static final Comparator<RunningTask> STOP_ORDER =
            Comparator.comparingInt((RunningTask t) -> rank(t.spec().kind()))
                    .thenComparing(Comparator.comparingLong(RunningTask::placedAtMillis).reversed())
                    .thenComparing(t -> t.spec().id());

    private Excess() {}

    /** Stops or checkpoints work in {@code id} that is above its budget. */
    static Transition stop(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        ShardBudget record = state.limits().shards().get(id);
        if (state.configuration().isEmpty() || record.confirmFromMillis() != Member.NEVER) {
            return Transition.of(state);
        }
        Transition result = Transition.of(state);
        for (var entry : shard.usage().entrySet()) {
            TeamId team = entry.getKey();
            Resources bound = bound(state, shard, record, team);
            if (!entry.getValue().fitsIn(bound)) {
                result = result.then(s -> stopTeam(s, id, team, bound));
            }
        }
        return result;
    }

    private static Resources bound(State state, ShardState shard, ShardBudget record, TeamId team) {
        Resources limit = Budgets.limitOf(state, team);
        Resources bound = Limits.share(state, shard, team, limit).min(limit);
        LocalCap cap = record.caps().get(team);
        Resources capped = cap == null || !cap.forLimit() ? bound : bound.min(cap.budget());
        Optional<Resources> standing = Limits.standing(state.limits(), shard, team);
        return standing.map(capped::min).orElse(capped).max(Limits.ample(state, team));
    }

    private static Transition stopTeam(State state, ShardId id, TeamId team, Resources bound) {
        ShardState shard = state.shards().get(id);
        List<RunningTask> candidates = new ArrayList<>();
        Resources left = shard.usageOf(team);
        boolean repeat =
                state.nowMillis() / REPEAT_MILLIS
                        != state.limits().tickedAtMillis() / REPEAT_MILLIS;
        Transition result = Transition.of(state);
        for (RunningTask task : shard.tasks().values()) {
            if (!task.spec().team().equals(team)) {
                continue;
            }
            if (task.phase() == TaskPhase.STOPPING) {
                left = left.minus(task.spec().size());
                result = repeat ? result.then(s -> command(s, id, task)) : result;
            } else if (!task.spec().kind().isRequest()) {
                candidates.add(task);
            }
        }
        candidates.sort(STOP_ORDER);
        Set<JobId> gangs = new HashSet<>();
        for (RunningTask task : candidates) {
            boolean gangPart = isOfGang(task, gangs);
            if (!gangPart && (left.fitsIn(bound) || !helps(task.spec().size(), left, bound))) {
                continue;
            }
            if (task.spec().kind() == WorkKind.GANG) {
                task.spec().job().ifPresent(j -> gangs.add(j.job()));
            }
            left = left.minus(task.spec().size());
            result = result.then(s -> stopTask(s, id, task));
        }
        return result;
    }

    private static boolean isOfGang(RunningTask task, Set<JobId> gangs) {
        return task.spec().job().map(j -> gangs.contains(j.job())).orElse(false);
    }

    /** Returns whether ending work of {@code size} lowers a component that is above the bound. */
    private static boolean helps(Resources size, Resources usage, Resources bound) {
        return (usage.cpuMillis() > bound.cpuMillis() && size.cpuMillis() > 0)
                || (usage.memoryMb() > bound.memoryMb() && size.memoryMb() > 0)
                || (usage.accelerators() > bound.accelerators() && size.accelerators() > 0);
    }

    private static Transition stopTask(State state, ShardId id, RunningTask task) {
        ShardState shard = state.shards().get(id);
        State stopping = state.withShard(shard.update(task.withPhase(TaskPhase.STOPPING)));
        return command(stopping, id, task)
                .with(
                        new LogDecision(
                                DecisionKind.PREEMPTED,
                                task.spec().id().value(),
                                Optional.of(task.spec().team()),
                                modeFor(task).name(),
                                "the team is above its upper limit",
                                0,
                                state.nowMillis() - task.placedAtMillis()));
    }

    private static Transition command(State state, ShardId id, RunningTask task) {
        ShardState shard = state.shards().get(id);
        String address = shard.workers().get(task.worker()).listing().address();
        return Transition.of(state)
                .with(
                        new WorkerEffect.StopTask(
                                task.worker(),
                                address,
                                shard.epoch(),
                                task.spec().id(),
                                modeFor(task)));
    }

    private static StopMode modeFor(RunningTask task) {
        return task.spec().kind() == WorkKind.SERVICE ? StopMode.STOP : StopMode.CHECKPOINT;
    }

    private static int rank(WorkKind kind) {
        return switch (kind) {
            case BATCH -> 0;
            case GANG -> 1;
            case SERVICE -> 2;
            case LOOKUP, COMMAND -> 3;
        };
    }
}
