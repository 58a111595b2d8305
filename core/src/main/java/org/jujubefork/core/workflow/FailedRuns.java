package org.jujubefork.core.workflow;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The runs of a task or a gang that have failed. A worker lists an end again until it is
 * acknowledged, and after a takeover the ends of several workers come in any order, so that each
 * run is kept to be counted once.
 *
 * @param runs the numbers of the runs
 */
public record FailedRuns(PSet<Long> runs) {
    /** No failure. */
    public static final FailedRuns NONE = new FailedRuns(HashTreePSet.empty());

    /** Returns this with the failure of {@code run}. */
    public FailedRuns plus(long run) {
        return new FailedRuns(runs.plus(run));
    }

    /** Returns how many runs have failed. */
    public int count() {
        return runs.size();
    }

    /** Returns whether nothing has failed. */
    public boolean isEmpty() {
        return runs.isEmpty();
    }
}
