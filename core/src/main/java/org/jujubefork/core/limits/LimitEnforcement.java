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

/** Stops work of teams whose usage exceeds their upper limit or their budget. */
final class LimitEnforcement {
    /**
     * Interval at which stop commands are repeated, because a command or its answer can be lost.
     */
    static final long STOP_RETRY_INTERVAL_MILLIS = 5_000;

    /**
     * Batch tasks are stopped first, then gang tasks, then services; within a kind, the newest
     * first.
     */
    private static final Comparator<RunningTask> STOP_ORDER =
            Comparator.comparingInt((RunningTask t) -> stopRank(t.spec().kind()))
                    .thenComparing(Comparator.comparingLong(RunningTask::placedAtMillis).reversed())
                    .thenComparing(t -> t.spec().id());

    private LimitEnforcement() {}

    /**
     * Stops tasks in shard {@code id} whose team exceeds its limit or budget: services are stopped,
     * batch and gang tasks save a checkpoint first. Does nothing while the shard waits for its
     * workers after a pause of this entry.
     */
    static Transition stopOverLimitTasks(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        ShardBudgetState budgetState = state.limits().budgetStates().get(id);
        if (state.configuration().isEmpty()
                || budgetState.unconfirmedSinceMillis() != Member.NEVER) {
            return Transition.of(state);
        }
        Transition result = Transition.of(state);
        for (var teamAndUsage : shard.usage().entrySet()) {
            TeamId team = teamAndUsage.getKey();
            Resources bound = usageBound(state, shard, budgetState, team);
            if (!teamAndUsage.getValue().fitsIn(bound)) {
                result = result.then(s -> stopTasksOf(s, id, team, bound));
            }
        }
        return result;
    }

    private static Resources usageBound(
            State state, ShardState shard, ShardBudgetState budgetState, TeamId team) {
        Resources limit = ShardBudgets.limitOf(state, team);
        Resources bound = Limits.rowLimit(state, shard, team, limit).min(limit);
        LocalCap cap = budgetState.caps().get(team);
        Resources capped = cap == null || !cap.requiredByLimit() ? bound : bound.min(cap.budget());
        Optional<Resources> guaranteed = Limits.guaranteedBudget(state.limits(), shard, team);
        return guaranteed.map(capped::min).orElse(capped).max(Limits.nonBindingLimit(state, team));
    }

    private static Transition stopTasksOf(State state, ShardId id, TeamId team, Resources bound) {
        ShardState shard = state.shards().get(id);
        List<RunningTask> candidates = new ArrayList<>();
        Resources remainingUsage = shard.usageOf(team);
        boolean isRetryDue =
                state.nowMillis() / STOP_RETRY_INTERVAL_MILLIS
                        != state.limits().tickedAtMillis() / STOP_RETRY_INTERVAL_MILLIS;
        Transition result = Transition.of(state);
        for (RunningTask task : shard.tasks().values()) {
            if (!task.spec().team().equals(team)) {
                continue;
            }
            if (task.phase() == TaskPhase.STOPPING) {
                remainingUsage = remainingUsage.minus(task.spec().size());
                result = isRetryDue ? result.then(s -> sendStop(s, id, task)) : result;
            } else if (!task.spec().kind().isRequest()) {
                candidates.add(task);
            }
        }
        candidates.sort(STOP_ORDER);
        Set<JobId> stoppedGangs = new HashSet<>();
        for (RunningTask task : candidates) {
            boolean belongsToStoppedGang = isInStoppedGang(task, stoppedGangs);
            if (!belongsToStoppedGang
                    && (remainingUsage.fitsIn(bound)
                            || !reducesOverLimitUsage(task.spec().size(), remainingUsage, bound))) {
                continue;
            }
            if (task.spec().kind() == WorkKind.GANG) {
                task.spec().jobTask().ifPresent(j -> stoppedGangs.add(j.job()));
            }
            remainingUsage = remainingUsage.minus(task.spec().size());
            result = result.then(s -> stopTask(s, id, task));
        }
        return result;
    }

    private static boolean isInStoppedGang(RunningTask task, Set<JobId> stoppedGangs) {
        return task.spec().jobTask().map(j -> stoppedGangs.contains(j.job())).orElse(false);
    }

    /** Returns whether stopping work of {@code size} lowers a component that is above the bound. */
    private static boolean reducesOverLimitUsage(Resources size, Resources usage, Resources bound) {
        return (usage.cpuMillis() > bound.cpuMillis() && size.cpuMillis() > 0)
                || (usage.memoryMb() > bound.memoryMb() && size.memoryMb() > 0)
                || (usage.accelerators() > bound.accelerators() && size.accelerators() > 0);
    }

    private static Transition stopTask(State state, ShardId id, RunningTask task) {
        ShardState shard = state.shards().get(id);
        State stopping = state.withShard(shard.update(task.withPhase(TaskPhase.STOPPING)));
        return sendStop(stopping, id, task)
                .with(
                        new LogDecision(
                                DecisionKind.PREEMPTED,
                                task.spec().id().value(),
                                Optional.of(task.spec().team()),
                                stopModeFor(task).name(),
                                "the team is above its upper limit",
                                0,
                                state.nowMillis() - task.placedAtMillis()));
    }

    private static Transition sendStop(State state, ShardId id, RunningTask task) {
        ShardState shard = state.shards().get(id);
        String address = shard.workers().get(task.worker()).listing().address();
        return Transition.of(state)
                .with(
                        new WorkerEffect.StopTask(
                                task.worker(),
                                address,
                                shard.epoch(),
                                task.spec().id(),
                                stopModeFor(task)));
    }

    private static StopMode stopModeFor(RunningTask task) {
        return task.spec().kind() == WorkKind.SERVICE ? StopMode.STOP : StopMode.CHECKPOINT;
    }

    private static int stopRank(WorkKind kind) {
        return switch (kind) {
            case BATCH -> 0;
            case GANG -> 1;
            case SERVICE -> 2;
            case LOOKUP, COMMAND -> 3;
        };
    }
}
