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
 * A worker's running tasks as of one response. The client applies the partial response to the next
 * renewal to it, so that callers of {@link WorkerClient} always receive all running tasks.
 *
 * @param epoch epoch of the request that the worker answered
 * @param incarnation incarnation of the worker
 * @param revision revision of the worker's list of tasks, at least 1
 * @param capacity resources available to tasks
 * @param slots maximum number of concurrent requests
 * @param running all running tasks
 */
record WorkerSnapshot(
        Epoch epoch,
        long incarnation,
        long revision,
        Resources capacity,
        int slots,
        List<RunningTask> running) {
    /** Changes of a worker's running tasks since a revision. */
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

    /** Resource usage of a task that changed since the last response. */
    record UsageUpdate(TaskId task, Resources usage) {}

    /** Returns the snapshot of a granted lease or renewal under {@code epoch}. */
    static WorkerSnapshot of(Epoch epoch, LeaseResult.Granted answer) {
        return new WorkerSnapshot(
                epoch,
                answer.incarnation(),
                answer.revision(),
                answer.capacity(),
                answer.slots(),
                answer.running());
    }

    /**
     * Returns whether this snapshot is more recent than {@code other}: by epoch, then by
     * incarnation, then by revision.
     */
    boolean isNewerThan(WorkerSnapshot other) {
        if (!epoch.equals(other.epoch)) {
            return epoch.isAbove(other.epoch);
        }
        return incarnation == other.incarnation
                ? revision > other.revision
                : incarnation > other.incarnation;
    }

    /**
     * Returns all running tasks after applying {@code delta}.
     *
     * @throws MalformedResponseException if the delta is not based on this snapshot's revision, or
     *     the result does not have the number of tasks that the worker reports. Such a delta must
     *     not be used, because running tasks would count as ended.
     */
    List<RunningTask> apply(Delta delta) throws MalformedResponseException {
        if (delta.incarnation() != incarnation || delta.baseRevision() != revision) {
            throw new MalformedResponseException(
                    "changes based on revision "
                            + delta.baseRevision()
                            + " of incarnation "
                            + delta.incarnation()
                            + " cannot be applied to revision "
                            + revision
                            + " of incarnation "
                            + incarnation);
        }
        List<RunningTask> result = delta.isEmpty() ? running : merge(delta);
        if (result.size() != delta.expectedTaskCount()) {
            throw new MalformedResponseException(
                    result.size()
                            + " running tasks after applying the changes, but the worker reports "
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
                throw new MalformedResponseException(
                        "usage update for an unknown task: " + update.task());
            }
            tasks.put(
                    update.task(), new RunningTask(task.spec(), update.usage(), task.ageMillis()));
        }
        return List.copyOf(tasks.values());
    }
}
