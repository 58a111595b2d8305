package org.jujubefork.standins.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.standins.history.HistorySink;

/** One worker: a lock around its immutable state, the timer of its deadlines, and its faults. */
final class SimulatedWorker {
    private final WorkerTransitions transitions;
    private final HistorySink history;
    private final ScheduledExecutorService timer;
    private final ReentrantLock lock = new ReentrantLock();

    // Guarded by lock.
    private WorkerState state;
    private final Map<TaskId, CompletableFuture<EndedTask>> waiting = new HashMap<>();
    private ScheduledFuture<?> tick;
    private long tickNanos;
    private long loseAnswers;

    private volatile long delayMillis;

    SimulatedWorker(
            WorkerState initial,
            WorkerTransitions transitions,
            HistorySink history,
            ScheduledExecutorService timer) {
        this.state = initial;
        this.transitions = transitions;
        this.history = history;
        this.timer = timer;
        WorkerStep.Note note = Notes.worker(initial);
        history.record(note.type(), System.nanoTime(), note.fields());
    }

    /** A command's result with the state after it, for the answer. */
    record Applied(WorkerState state, WorkerOutcome outcome, long nowNanos) {}

    /** Result of a start; {@code end} completes when the task ends. */
    record Start(Applied applied, CompletableFuture<EndedTask> end, boolean loseAnswer) {}

    Applied apply(WorkerCommand command) {
        lock.lock();
        try {
            long now = System.nanoTime();
            WorkerStep step = transitions.apply(state, command, now);
            state = step.state();
            step.notes().forEach(note -> history.record(note.type(), now, note.fields()));
            step.ended().forEach(end -> complete(end.spec().id(), end));
            step.lost().forEach(this::abandon);
            scheduleTick(now);
            return new Applied(state, step.outcome(), now);
        } finally {
            lock.unlock();
        }
    }

    Start start(WorkerCommand.Start command) {
        TaskId id = command.spec().id();
        lock.lock();
        try {
            // Registered first, because a task without run time ends within its start. A running
            // task with the same identifier keeps its own future.
            CompletableFuture<EndedTask> end = new CompletableFuture<>();
            CompletableFuture<EndedTask> other = waiting.putIfAbsent(id, end);
            Applied applied = apply(command);
            boolean accepted = applied.outcome() instanceof WorkerOutcome.Accepted;
            if (!accepted && other == null) {
                waiting.remove(id);
            }
            boolean lose = accepted && loseAnswers > 0;
            if (lose) {
                loseAnswers--;
            }
            return new Start(applied, end, lose);
        } finally {
            lock.unlock();
        }
    }

    void loseAnswers(long count) {
        lock.lock();
        try {
            loseAnswers = count;
        } finally {
            lock.unlock();
        }
    }

    void delayMillis(long millis) {
        delayMillis = millis;
    }

    long delayMillis() {
        return delayMillis;
    }

    private void complete(TaskId id, EndedTask end) {
        CompletableFuture<EndedTask> future = waiting.remove(id);
        if (future != null) {
            future.complete(end);
        }
    }

    private void abandon(TaskId id) {
        CompletableFuture<EndedTask> future = waiting.remove(id);
        if (future != null) {
            future.cancel(false);
        }
    }

    private void scheduleTick(long now) {
        OptionalLong next = state.nextDeadline();
        if (tick != null && next.isPresent() && next.getAsLong() == tickNanos && !tick.isDone()) {
            return;
        }
        if (tick != null) {
            tick.cancel(false);
            tick = null;
        }
        if (next.isPresent()) {
            tickNanos = next.getAsLong();
            try {
                tick =
                        timer.schedule(
                                () -> apply(new WorkerCommand.Tick()),
                                Math.max(0, tickNanos - now),
                                TimeUnit.NANOSECONDS);
            } catch (RejectedExecutionException e) {
                // The fleet is closing; no deadline matters any more.
                tick = null;
            }
        }
    }

    /** Returns whether a request ended with an answer. */
    static boolean hasAnswer(EndedTask end) {
        return end.reason() == EndReason.SUCCEEDED;
    }
}
