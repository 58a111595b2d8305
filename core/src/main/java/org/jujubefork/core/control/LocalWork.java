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
 * What an entry is responsible for.
 *
 * @param shards the shards that the entry owns
 * @param detachedTasks requests that were started in shards that the entry no longer owns
 * @param limits budgets
 * @param requests requests that callers sent to the entry
 * @param jobs jobs of the cell
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
