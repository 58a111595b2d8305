package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PVector;

/**
 * The current state of a request at this entry.
 *
 * @param request identifier of the request
 * @param team the team whose share and limit the request counts against
 * @param stage the processing stage that the request has reached
 * @param sinceMillis when the request was queued, placed or, in all other stages, received, in
 *     milliseconds of this entry's monotonic clock
 * @param deadlineMillis deadline of its answer by the same clock; empty if it is placed here for
 *     another entry, which keeps the deadline
 * @param shard the shard to which the request is routed; empty if none is chosen
 * @param owner the entry to which it was forwarded; empty if it was not forwarded
 * @param worker the worker on which it is placed; empty if it is not placed by this entry
 * @param waits reasons why it waits
 * @param rejections number of workers that cannot run it, by reason; empty if it is not queued at
 *     this entry
 */
public record RequestExplanation(
        RequestId request,
        TeamId team,
        Stage stage,
        long sinceMillis,
        Optional<Long> deadlineMillis,
        Optional<ShardId> shard,
        Optional<String> owner,
        Optional<WorkerId> worker,
        PVector<Wait> waits,
        Optional<RejectionCounts> rejections) {
    /** Stages in the processing of a request. */
    public enum Stage {
        /** Its claim is being written. */
        CLAIMING,
        /** It is queued in a shard of this entry. */
        QUEUED,
        /** It was placed on a worker by this entry. */
        PLACED,
        /** It was routed to a shard and is neither queued nor placed by this entry. */
        FORWARDED,
        /** Its outcome is being recorded in its claim. */
        SETTLING
    }
}
