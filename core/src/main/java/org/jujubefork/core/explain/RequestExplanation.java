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
 * @param deadlineMillis deadline of the answer by the same clock; empty if the request is placed
 *     here for another entry, because only that entry knows the deadline
 * @param shard the shard to which the request is routed; empty if no shard is chosen
 * @param owner the entry to which the request was forwarded; empty if it was not forwarded
 * @param worker the worker on which this entry placed the request; empty if it did not place the
 *     request
 * @param waits reasons why the request waits
 * @param rejections number of workers that cannot run the request, by reason; empty if the request
 *     is not queued at this entry
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
        /** The claim of the request is being written. */
        CLAIMING,
        /** The request is queued in a shard of this entry. */
        QUEUED,
        /** This entry placed the request on a worker. */
        PLACED,
        /** The request was routed to a shard and is neither queued nor placed by this entry. */
        FORWARDED,
        /** The outcome of the request is being recorded in its claim. */
        SETTLING
    }
}
