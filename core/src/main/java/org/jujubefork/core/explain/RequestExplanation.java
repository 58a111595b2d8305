package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PVector;

/**
 * How a request stands at this entry.
 *
 * @param request the request
 * @param team the team that is charged
 * @param stage how far it has come
 * @param sinceMillis since when, in milliseconds of the answering entry's clock
 * @param deadlineMillis when its answer is due, by the same clock; empty if it runs here for
 *     another entry
 * @param shard the shard in which it is tried
 * @param owner the entry to which it was forwarded
 * @param worker the worker on which it runs
 * @param waits why it waits
 * @param rejections workers by the reason for which they were not chosen; empty if it does not wait
 *     here
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
        PVector<WaitExplanation> waits,
        Optional<RejectionCounts> rejections) {
    /** How far a request has come. */
    public enum Stage {
        /** Its claim is being written. */
        CLAIMING,
        /** It waits in a shard of this entry. */
        QUEUED,
        /** It was placed on a worker by this entry. */
        PLACED,
        /** Another entry has it. */
        FORWARDED,
        /** Its outcome is being recorded. */
        SETTLING
    }
}
