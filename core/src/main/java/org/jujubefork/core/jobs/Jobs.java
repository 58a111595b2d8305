package org.jujubefork.core.jobs;

import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.Workers;
import org.pcollections.PSortedMap;

/** Keeps jobs and their records in line with what runs. */
public final class Jobs {
    private Jobs() {}

    /** Reduces news of jobs. */
    public static Transition reduce(State state, JobEvent event) {
        return switch (event) {
            case JobEvent.JobRecordsChanged e -> Transition.of(changed(state, e));
            case JobEvent.JobSubmitted e -> Transition.of(state);
            case JobEvent.JobCancelRequested e -> Transition.of(state);
            case JobEvent.JobWritten e -> Transition.of(state);
            case JobEvent.JobWriteFailed e -> Transition.of(state);
        };
    }

    /** Records that a task of a job ended on {@code worker}. */
    public static Transition taskEnded(
            State state, ShardId shard, WorkerId worker, EndedTask task) {
        return Transition.of(Workers.acknowledge(state, worker, task.spec().id()));
    }

    /**
     * Records that a task of a job is surely not running any more, and that its result is not
     * known.
     */
    public static Transition taskLost(State state, ShardId shard, RunningTask task) {
        return Transition.of(state);
    }

    /** Records that a task of a job was not started. */
    public static Transition startRefused(State state, ShardId shard, RunningTask task) {
        return Transition.of(state);
    }

    private static State changed(State state, JobEvent.JobRecordsChanged event) {
        PSortedMap<JobId, StoredJob> records = state.jobs().records().minusAll(event.removed());
        for (StoredJob stored : event.records()) {
            records = records.plus(stored.record().id(), stored);
        }
        return state.withJobs(new JobTable(records));
    }
}
