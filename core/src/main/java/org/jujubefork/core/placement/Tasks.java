package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.ownership.Ownership;
import org.jujubefork.core.requests.AttemptReporter;
import org.jujubefork.core.requests.Requests;

/** Tracks tasks from the start command to their completion. */
public final class Tasks {
    private static final AttemptResult LOOKUP_FAILED =
            AttemptResult.unknown(RefusalReason.TASK_FAILED);

    private Tasks() {}

    /**
     * Applies the outcome of a command to a worker. Outcomes of tasks that are not known are
     * ignored.
     */
    public static Transition reduce(State state, TaskEvent event) {
        for (ShardState shard : state.shards().values()) {
            Optional<RunningTask> task = shard.task(event.task());
            if (task.isPresent()) {
                return reduceOwned(state, shard, task.get(), event);
            }
        }
        RunningTask detached = state.detachedTasks().get(event.task());
        return detached == null ? Transition.of(state) : reduceDetached(state, detached, event);
    }

    private static Transition reduceOwned(
            State state, ShardState shard, RunningTask task, TaskEvent event) {
        return switch (event) {
            case TaskEvent.StartAccepted e ->
                    Transition.of(
                            state.withShard(
                                    shard.update(task.withStartConfirmed(state.nowMillis()))));
            case TaskEvent.StartRefused e -> onStartRefused(state, shard, task, e);
            case TaskEvent.StartNotSent e -> onStartNotSent(state, shard, task);
            case TaskEvent.StartUnknown e -> onStartUnknown(state, shard, task);
            case TaskEvent.RequestFinished e -> onRequestFinished(state, shard, task, e);
            case TaskEvent.LookupFailed e -> onLookupFailed(state, shard, task, e);
            case TaskEvent.StopConfirmed e -> onStopConfirmed(state, shard, task);
            case TaskEvent.StopFailed e ->
                    Workers.suspend(
                            state, shard.id(), task.worker(), "no answer to a stop command");
        };
    }

    private static Transition onStartRefused(
            State state, ShardState shard, RunningTask task, TaskEvent.StartRefused event) {
        boolean hasNoCapacity =
                event.reason() == StartRefusal.NO_CAPACITY
                        || event.reason() == StartRefusal.NO_SLOT;
        Transition result =
                hasNoCapacity && task.request().isPresent()
                        ? Admission.requeue(state, shard.id(), task)
                        : returnUnstarted(state, shard, task, RefusalReason.WORKER_REFUSED);
        Optional<Epoch> current = event.currentEpoch();
        if (event.reason() == StartRefusal.STALE_EPOCH
                && current.isPresent()
                && current.get().isAbove(shard.epoch())) {
            return result.then(s -> Ownership.handleHigherEpoch(s, shard.id(), current.get()));
        }
        String reason = "start refused: " + event.reason();
        return result.then(s -> Workers.suspend(s, shard.id(), task.worker(), reason));
    }

    private static Transition onStartNotSent(State state, ShardState shard, RunningTask task) {
        return returnUnstarted(state, shard, task, RefusalReason.WORKER_UNREACHABLE)
                .then(
                        s ->
                                Workers.suspend(
                                        s,
                                        shard.id(),
                                        task.worker(),
                                        "no connection for a start command"));
    }

    /**
     * Handles a task that was certainly not started: a task of a job is queued again, and a request
     * is reported to the entry of its caller, which may try it elsewhere.
     */
    private static Transition returnUnstarted(
            State state, ShardState shard, RunningTask task, RefusalReason reason) {
        State released = state.withShard(shard.release(task.spec().id()));
        if (task.origin().isPresent()) {
            return AttemptReporter.report(
                    released, task.origin().get(), AttemptResult.notRunHere(reason));
        }
        return Jobs.startRefused(released, shard.id(), task);
    }

    private static Transition onStartUnknown(State state, ShardState shard, RunningTask task) {
        ShardState updated = TaskOutcomes.recordFailure(state, shard, task);
        State unconfirmed = state.withShard(updated.update(task.withPhase(TaskPhase.UNCONFIRMED)));
        Transition result =
                Transition.of(unconfirmed)
                        .with(
                                new WorkerEffect.StopTask(
                                        task.worker(),
                                        shard.workers().get(task.worker()).listing().address(),
                                        shard.epoch(),
                                        task.spec().id(),
                                        StopMode.STOP));
        if (task.origin().isEmpty()) {
            return result;
        }
        return result.then(
                s ->
                        AttemptReporter.report(
                                s,
                                task.origin().get(),
                                AttemptResult.unknown(RefusalReason.WORKER_CONNECTION_LOST)));
    }

    private static Transition onRequestFinished(
            State state, ShardState shard, RunningTask task, TaskEvent.RequestFinished event) {
        ShardState updated =
                event.succeeded()
                        ? TaskOutcomes.recordSuccess(shard, task, state.nowMillis())
                        : TaskOutcomes.recordFailure(state, shard, task);
        State released =
                Requests.recordAnswerBytes(
                        state.withShard(updated.release(task.spec().id())),
                        task.spec().queue(),
                        event.answerBytes());
        String outcome = event.succeeded() ? "succeeded" : "failed";
        Transition result = Transition.of(released).with(endedDecision(state, task, outcome));
        return task.origin()
                .map(o -> result.then(s -> AttemptReporter.report(s, o, AttemptResult.done())))
                .orElse(result);
    }

    /** Frees the capacity of a failed lookup; the entry of its caller may try another shard. */
    private static Transition onLookupFailed(
            State state, ShardState shard, RunningTask task, TaskEvent.LookupFailed event) {
        ShardState updated = TaskOutcomes.recordFailure(state, shard, task);
        State released = state.withShard(updated.release(task.spec().id()));
        return Transition.of(released)
                .with(endedDecision(state, task, "failed: " + event.message()))
                .then(s -> AttemptReporter.report(s, task.origin().orElseThrow(), LOOKUP_FAILED));
    }

    private static LogDecision endedDecision(State state, RunningTask task, String outcome) {
        return new LogDecision(
                DecisionKind.ENDED,
                task.spec().id().value(),
                Optional.of(task.spec().team()),
                task.worker().value(),
                outcome,
                0,
                state.nowMillis() - task.placedAtMillis());
    }

    private static Transition onStopConfirmed(State state, ShardState shard, RunningTask task) {
        if (task.phase() == TaskPhase.RUNNING) {
            // A throttle command is the only stop command that leaves a task running.
            return Transition.of(state.withShard(shard.update(task.asThrottled())));
        }
        if (task.phase() == TaskPhase.STOPPING) {
            // The worker's report contains the progress of the task and frees its capacity.
            return Workers.renew(state, shard.id(), task.worker());
        }
        if (task.phase() != TaskPhase.UNCONFIRMED) {
            return Transition.of(state);
        }
        State released = state.withShard(shard.release(task.spec().id()));
        return task.spec().jobTask().isPresent()
                ? Jobs.taskLost(released, shard.id(), task)
                : Transition.of(released);
    }

    private static Transition reduceDetached(State state, RunningTask task, TaskEvent event) {
        Optional<AttemptResult> result =
                switch (event) {
                    case TaskEvent.RequestFinished e -> Optional.of(AttemptResult.done());
                    case TaskEvent.StartRefused e ->
                            Optional.of(AttemptResult.notRunHere(RefusalReason.WORKER_REFUSED));
                    case TaskEvent.StartNotSent e ->
                            Optional.of(AttemptResult.notRunHere(RefusalReason.WORKER_UNREACHABLE));
                    case TaskEvent.StartUnknown e ->
                            Optional.of(
                                    AttemptResult.unknown(RefusalReason.WORKER_CONNECTION_LOST));
                    case TaskEvent.LookupFailed e -> Optional.of(LOOKUP_FAILED);
                    case TaskEvent.StartAccepted e -> Optional.empty();
                    case TaskEvent.StopConfirmed e -> Optional.empty();
                    case TaskEvent.StopFailed e -> Optional.empty();
                };
        if (result.isEmpty()) {
            return Transition.of(state);
        }
        State remaining = state.withDetachedTasks(state.detachedTasks().minus(task.spec().id()));
        return AttemptReporter.report(remaining, task.origin().orElseThrow(), result.get());
    }
}
