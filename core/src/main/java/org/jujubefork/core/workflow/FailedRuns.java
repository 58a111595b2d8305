package org.jujubefork.core.workflow;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The runs of a task or a gang that have failed. A worker lists an end again until it is
 * acknowledged, and after a takeover the ends of several workers come in any order, so that each
 * run is kept to be counted once.
 *
 * @param runNumbers the numbers of the runs
 */
public record FailedRuns(PSet<Long> runNumbers) {
    /** No failure. */
    public static final FailedRuns NONE = new FailedRuns(HashTreePSet.empty());

    /** Returns this with the failure of {@code runNumber}. */
    public FailedRuns withRun(long runNumber) {
        return new FailedRuns(runNumbers.plus(runNumber));
    }

    /** Returns how many runs have failed. */
    public int count() {
        return runNumbers.size();
    }

    /** Returns whether nothing has failed. */
    public boolean isEmpty() {
        return runNumbers.isEmpty();
    }
}
