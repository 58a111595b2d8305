package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.TaskId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What this entry has to add to the record of a job.
 *
 * @param sinceMillis since when there is something to add
 * @param ends ends of tasks that the record does not show yet
 * @param cancel whether the job is to be cancelled
 * @param edit a change of the parts that belongs to a move
 * @param view the record with all this added; empty if no record is known
 * @param inFlight whether a write is on its way
 * @param dueMillis when the next write is due; while one is on its way, when it is given up
 * @param failures how many writes in a row failed
 */
public record JobWork(
        long sinceMillis,
        PSortedMap<TaskId, PendingEnd> ends,
        boolean cancel,
        Optional<PartEdit> edit,
        Optional<JobRecord> view,
        boolean inFlight,
        long dueMillis,
        int failures) {
    static JobWork since(long nowMillis, long dueMillis) {
        return new JobWork(
                nowMillis,
                TreePMap.empty(),
                false,
                Optional.empty(),
                Optional.empty(),
                false,
                dueMillis,
                0);
    }

    JobWork withEnds(PSortedMap<TaskId, PendingEnd> value) {
        return new JobWork(sinceMillis, value, cancel, edit, view, inFlight, dueMillis, failures);
    }

    JobWork withCancel(boolean value) {
        return new JobWork(sinceMillis, ends, value, edit, view, inFlight, dueMillis, failures);
    }

    JobWork withEdit(Optional<PartEdit> value) {
        return new JobWork(sinceMillis, ends, cancel, value, view, inFlight, dueMillis, failures);
    }

    JobWork withView(Optional<JobRecord> value) {
        return new JobWork(sinceMillis, ends, cancel, edit, value, inFlight, dueMillis, failures);
    }

    JobWork dueAt(long millis) {
        return new JobWork(sinceMillis, ends, cancel, edit, view, inFlight, millis, failures);
    }

    JobWork sent(long giveUpMillis) {
        return new JobWork(sinceMillis, ends, cancel, edit, view, true, giveUpMillis, failures);
    }

    JobWork answered(int failedWrites, long nextMillis) {
        return new JobWork(sinceMillis, ends, cancel, edit, view, false, nextMillis, failedWrites);
    }
}
