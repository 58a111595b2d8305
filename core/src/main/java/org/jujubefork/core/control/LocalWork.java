package org.jujubefork.core.control;

import org.jujubefork.core.jobs.JobTable;
import org.jujubefork.core.limits.LimitState;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.requests.RequestTable;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The shards, requests and jobs that an entry handles.
 *
 * @param shards the shards that the entry owns
 * @param detachedTasks running requests that the entry started in shards that it no longer owns
 * @param limits the budget ledger and the budgets of owned shards
 * @param requests requests that the entry received from callers
 * @param jobs all jobs of the cell, with the tasks in owned shards
 */
public record LocalWork(
        PSortedMap<ShardId, ShardState> shards,
        PSortedMap<TaskId, RunningTask> detachedTasks,
        LimitState limits,
        RequestTable requests,
        JobTable jobs) {
    static final LocalWork EMPTY =
            new LocalWork(
                    TreePMap.empty(),
                    TreePMap.empty(),
                    LimitState.EMPTY,
                    RequestTable.EMPTY,
                    JobTable.EMPTY);
}
