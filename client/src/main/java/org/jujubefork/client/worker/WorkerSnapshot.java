package org.jujubefork.client.worker;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.client.http.MalformedResponseException;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;

/**
 * A worker's running tasks as one answer showed them. A partial answer to the next renewal is
 * completed from it, so that callers of {@link WorkerClient} always see all running tasks.
 *
 * @param epoch the epoch under which the answer was given
 * @param incarnation the worker's incarnation
 * @param revision the worker's name for this state of its tasks; at least 1
 * @param capacity what tasks may use
 * @param slots how many requests run at once
 * @param running all tasks that run
 */
record WorkerSnapshot(
        Epoch epoch,
        long incarnation,
        long revision,
        Resources capacity,
        int slots,
        List<RunningTask> running) {
    /** What changed on a worker since a revision. */
    record Delta(
            long incarnation,
            long baseRevision,
            List<RunningTask> started,
            List<UsageUpdate> usageUpdates,
            Collection<TaskId> removed,
            int expectedTaskCount) {
        boolean isEmpty() {
            return started.isEmpty() && usageUpdates.isEmpty() && removed.isEmpty();
        }
    }

    /** A task's usage where it differs from the last one listed. */
    record UsageUpdate(TaskId task, Resources usage) {}

    /** Returns the view that an answer under {@code epoch} gives. */
    static WorkerSnapshot of(Epoch epoch, LeaseResult.Granted answer) {
        return new WorkerSnapshot(
                epoch,
                answer.incarnation(),
                answer.revision(),
                answer.capacity(),
                answer.slots(),
                answer.running());
    }

    /** Returns whether {@code other} shows an older state than this view. */
    boolean isNewerThan(WorkerSnapshot other) {
        if (!epoch.equals(other.epoch)) {
            return epoch.isAbove(other.epoch);
        }
        return incarnation == other.incarnation
                ? revision > other.revision
                : incarnation > other.incarnation;
    }

    /**
     * Returns all running tasks after {@code delta}.
     *
     * @throws MalformedResponseException if the changes do not follow this view or do not give the
     *     number of tasks that the worker runs; a task must never count as gone because of that
     */
    List<RunningTask> apply(Delta delta) throws MalformedResponseException {
        if (delta.incarnation() != incarnation || delta.baseRevision() != revision) {
            throw new MalformedResponseException(
                    "changes since revision "
                            + delta.baseRevision()
                            + " of incarnation "
                            + delta.incarnation()
                            + " do not follow revision "
                            + revision
                            + " of incarnation "
                            + incarnation);
        }
        List<RunningTask> result = delta.isEmpty() ? running : merge(delta);
        if (result.size() != delta.expectedTaskCount()) {
            throw new MalformedResponseException(
                    result.size()
                            + " running tasks after the changes, not "
                            + delta.expectedTaskCount());
        }
        return result;
    }

    private List<RunningTask> merge(Delta delta) throws MalformedResponseException {
        Map<TaskId, RunningTask> tasks = new LinkedHashMap<>();
        running.forEach(t -> tasks.put(t.spec().id(), t));
        delta.removed().forEach(tasks::remove);
        delta.started().forEach(t -> tasks.put(t.spec().id(), t));
        for (UsageUpdate update : delta.usageUpdates()) {
            RunningTask task = tasks.get(update.task());
            if (task == null) {
                throw new MalformedResponseException("usage of an unknown task: " + update.task());
            }
            tasks.put(
                    update.task(), new RunningTask(task.spec(), update.usage(), task.ageMillis()));
        }
        return List.copyOf(tasks.values());
    }
}
