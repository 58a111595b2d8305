package org.jujubefork.entry.http;

import java.util.List;
import java.util.Locale;
import org.jujubefork.client.api.JobPartView;
import org.jujubefork.client.api.JobView;
import org.jujubefork.client.api.TaskCounts;
import org.jujubefork.core.control.State;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.model.JobId;

/** Converts jobs to their view in the API. */
final class JobViews {
    private JobViews() {}

    /** Returns the view of {@code stored}; counts only the running tasks of this entry's shards. */
    static JobView of(State state, StoredJob stored) {
        JobRecord job = stored.record();
        long placedCount =
                state.shards().values().stream()
                        .flatMap(s -> s.tasks().values().stream())
                        .filter(
                                t ->
                                        t.spec()
                                                .jobTask()
                                                .map(j -> j.job().equals(job.id()))
                                                .orElse(false))
                        .count();
        int succeededCount = job.succeeded().size();
        return new JobView(
                job.id().value(),
                job.team().value(),
                job.queue().value(),
                job.kind().name().toLowerCase(Locale.ROOT),
                state(job, placedCount > 0 || succeededCount > 0),
                new TaskCounts(job.tasks(), (int) placedCount + succeededCount, succeededCount, 0),
                job.reason(),
                job.parts().stream().map(p -> partView(job, p)).toList());
    }

    /** Returns the view of a job that was accepted but not yet read back from the store. */
    static JobView accepted(JobId job) {
        return new JobView(
                job.value(),
                "",
                "",
                "",
                JobView.State.QUEUED,
                new TaskCounts(0, 0, 0, 0),
                "",
                List.of());
    }

    private static JobPartView partView(JobRecord job, JobPart part) {
        int succeeded = succeededCount(job, part);
        return new JobPartView(
                part.shard().value(), part.from(), part.to(), succeeded, succeeded, 0);
    }

    private static int succeededCount(JobRecord job, JobPart part) {
        return (int)
                job.succeeded().stream()
                        .filter(index -> index >= part.from() && index < part.to())
                        .count();
    }

    private static JobView.State state(JobRecord job, boolean started) {
        return switch (job.state()) {
            case ACTIVE -> started ? JobView.State.RUNNING : JobView.State.QUEUED;
            case SUCCEEDED -> JobView.State.SUCCEEDED;
            case FAILED -> JobView.State.FAILED;
            case CANCELLED -> JobView.State.CANCELLED;
        };
    }
}
