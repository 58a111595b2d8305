package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Callers that wait for a write to the store, indexed by deadline and by job.
 *
 * @param byDeadline all waiting callers, ordered by deadline
 * @param byJob the same callers, by job
 */
public record WaitingCallers(
        PSortedSet<WaitingCaller> byDeadline, PSortedMap<JobId, PSortedSet<WaitingCaller>> byJob) {
    static final WaitingCallers NONE = new WaitingCallers(TreePSet.empty(), TreePMap.empty());

    /** Returns the callers that wait for {@code job}; empty if there are none. */
    PSortedSet<WaitingCaller> of(JobId job) {
        return byJob.getOrDefault(job, TreePSet.empty());
    }

    WaitingCallers plus(WaitingCaller caller) {
        return new WaitingCallers(
                byDeadline.plus(caller), byJob.plus(caller.job(), of(caller.job()).plus(caller)));
    }

    WaitingCallers minus(WaitingCaller caller) {
        PSortedSet<WaitingCaller> remaining = of(caller.job()).minus(caller);
        return new WaitingCallers(
                byDeadline.minus(caller),
                remaining.isEmpty()
                        ? byJob.minus(caller.job())
                        : byJob.plus(caller.job(), remaining));
    }
}
