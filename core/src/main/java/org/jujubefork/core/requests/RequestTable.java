package org.jujubefork.core.requests;

import org.jujubefork.core.model.RequestId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The callers' requests that this entry has to answer.
 *
 * @param active requests without an answer
 * @param deadlines their deadlines
 * @param retries the retry budget
 */
public record RequestTable(
        PSortedMap<RequestId, FrontRequest> active,
        PSortedSet<org.jujubefork.core.placement.WorkQueue.Deadline> deadlines,
        RetryBudget retries) {
    /** No requests. */
    public static final RequestTable EMPTY =
            new RequestTable(TreePMap.empty(), TreePSet.empty(), RetryBudget.FULL);

    RequestTable arrived(FrontRequest request) {
        return new RequestTable(
                active.plus(request.id(), request),
                deadlines.plus(deadline(request)),
                retries.earned());
    }

    RequestTable with(FrontRequest request) {
        return new RequestTable(active.plus(request.id(), request), deadlines, retries);
    }

    RequestTable without(FrontRequest request) {
        return new RequestTable(
                active.minus(request.id()), deadlines.minus(deadline(request)), retries);
    }

    RequestTable retried() {
        return new RequestTable(active, deadlines, retries.spent());
    }

    private static org.jujubefork.core.placement.WorkQueue.Deadline deadline(FrontRequest request) {
        return new org.jujubefork.core.placement.WorkQueue.Deadline(
                request.deadlineMillis(), request.id());
    }
}
