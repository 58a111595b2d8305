package org.jujubefork.core.requests;

import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * A request that the receiving entry forwards to the owner of a shard.
 *
 * @param shard the shard that is to run the request
 * @param queue the queue of the request
 * @param team the team whose limit and budget the request uses
 * @param kind the kind of work: lookup or command
 * @param size the resources that the queue declares for a request
 * @param urgent whether it may use the capacity of workers that is reserved for urgent requests
 * @param remainingMillis remaining time until its deadline, in milliseconds
 * @param returnable whether the owner may decline it because the budget of the team in the shard is
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
    /** Creates a request that is not returnable: it waits in the shard until its deadline. */
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
