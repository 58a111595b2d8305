package org.jujubefork.core.requests;

import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * A request as one entry passes it to the owner of a shard.
 *
 * @param shard the shard that is to run it
 * @param queue the queue
 * @param team the team that is charged
 * @param kind lookup or command
 * @param size the declared size
 * @param urgent whether it may use the reserved part of workers
 * @param remainingMillis time left until its deadline, in milliseconds
 * @param returnable whether the owner may report it back because the team's budget in the shard is
 *     used up, so that it is tried in another shard
 */
public record ForwardedRequest(
        ShardId shard,
        QueueId queue,
        TeamId team,
        WorkKind kind,
        Resources size,
        boolean urgent,
        long remainingMillis,
        boolean returnable) {
    /** Creates a request that waits in the shard until its deadline. */
    public ForwardedRequest(
            ShardId shard,
            QueueId queue,
            TeamId team,
            WorkKind kind,
            Resources size,
            boolean urgent,
            long remainingMillis) {
        this(shard, queue, team, kind, size, urgent, remainingMillis, false);
    }
}
