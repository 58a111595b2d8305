package org.jujubefork.core.workflow;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The failed runs of a task or a gang. Run numbers are stored instead of a count so that each run
 * counts once: a worker repeats the report of a completion until the leader acknowledges it, and
 * after a takeover the reports of several workers arrive in any order.
 *
 * @param runNumbers the numbers of the runs
 */
public record FailedRuns(PSet<Long> runNumbers) {
    /** No run has failed. */
    public static final FailedRuns NONE = new FailedRuns(HashTreePSet.empty());

    /** Returns a copy that includes {@code runNumber}. */
    public FailedRuns withRun(long runNumber) {
        return new FailedRuns(runNumbers.plus(runNumber));
    }

    /** Returns how many different runs have failed. */
    public int count() {
        return runNumbers.size();
    }

    /** Returns whether no run has failed. */
    public boolean isEmpty() {
        return runNumbers.isEmpty();
    }
}
