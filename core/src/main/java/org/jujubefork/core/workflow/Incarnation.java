package org.jujubefork.core.workflow;

/**
 * What the leader knows of one incarnation of a worker: one life of its process. Nothing of it
 * holds for the next incarnation under the same identifier, which numbers its completions anew, has
 * another clock and has seen no fencing token.
 *
 * <p>The lease of a worker is extended by each lease renewal with an expiry and by each start
 * command, also by one that is rejected as old or for lack of room. The expiry is a time of the
 * worker's clock. An order that was meant for an earlier incarnation names a time of another clock,
 * so its lease is limited only by {@link WorkflowLimits#MAX_WORKER_LEASE_MILLIS} from when it is
 * carried out, which can be seconds after it was sent. The fencing token is therefore raised for
 * each incarnation: once it has answered a renewal with its own token, it rejects such orders.
 *
 * @param born the start of the process in Unix milliseconds, which identifies the incarnation; 0 if
 *     it is not known
 * @param clockOffset its clock minus the leader's, in milliseconds
 * @param previousFence no order to an earlier incarnation carries a higher fencing token; 0 if the
 *     worker can get no such order any more
 * @param fence the fencing token of the orders to this incarnation; 0 until it has answered a
 *     renewal that carries a higher token than {@code previousFence}
 * @param staleLeaseEnd the time of the leader's clock at which each lease has expired that an order
 *     for an earlier incarnation has set; {@link Long#MAX_VALUE} while such an order may still be
 *     carried out
 * @param processedSequence the highest sequence number of its completions that this leader has
 *     processed
 * @param storedSequence the highest sequence number up to which the results of its completions are
 *     stored
 */
public record Incarnation(
        long born,
        long clockOffset,
        long previousFence,
        long fence,
        long staleLeaseEnd,
        long processedSequence,
        long storedSequence) {
    /** The first incarnation of a worker, before its first answer. */
    static final Incarnation FIRST = new Incarnation(0, 0, 0, 0, 0, 0, 0);

    /**
     * Returns the incarnation {@code born} as an earlier leader has recorded it: the worker rejects
     * the orders for earlier incarnations, and the leases that they have set have expired.
     */
    static Incarnation recorded(long born) {
        return FIRST.withBorn(born);
    }

    /**
     * Returns an incarnation that may still carry out orders for an earlier one.
     *
     * @param born its start in Unix milliseconds, 0 if it has not answered yet
     * @param previousFence the highest fencing token of these orders
     */
    static Incarnation unfenced(long born, long previousFence) {
        return new Incarnation(born, 0, previousFence, 0, Long.MAX_VALUE, 0, 0);
    }

    /** Returns whether the worker rejects orders for an earlier incarnation. */
    public boolean isFenced() {
        return fence > 0;
    }

    /** Returns a copy that is identified by {@code newBorn}. */
    Incarnation withBorn(long newBorn) {
        return new Incarnation(
                newBorn,
                clockOffset,
                previousFence,
                fence,
                staleLeaseEnd,
                processedSequence,
                storedSequence);
    }

    /**
     * Returns a copy after an answer that arrived at {@code at}.
     *
     * @param clockMillis the time of the worker's clock, which shows the age of the incarnation
     * @param answeredFence the fencing token of the renewal that was answered
     */
    Incarnation answered(long at, long clockMillis, long answeredFence) {
        boolean becomesFenced = !isFenced() && answeredFence > previousFence;
        return new Incarnation(
                born,
                clockMillis - at,
                previousFence,
                becomesFenced ? answeredFence : fence,
                becomesFenced ? staleLeaseEnd(at, clockMillis) : staleLeaseEnd,
                processedSequence,
                storedSequence);
    }

    private long staleLeaseEnd(long fencedAt, long clockMillis) {
        if (previousFence == 0) {
            return staleLeaseEnd;
        }
        long lastOrderAt = fencedAt - clockMillis + WorkflowLimits.MAX_ORDER_DELAY_MILLIS;
        return WorkflowLimits.maxLeaseEnd(Math.min(fencedAt, lastOrderAt));
    }

    /** Returns a copy in which the completions up to {@code sequence} are processed. */
    Incarnation withProcessedSequence(long sequence) {
        return new Incarnation(
                born, clockOffset, previousFence, fence, staleLeaseEnd, sequence, storedSequence);
    }

    /** Returns a copy in which the completions up to {@code sequence} are stored. */
    Incarnation withStoredSequence(long sequence) {
        return new Incarnation(
                born,
                clockOffset,
                previousFence,
                fence,
                staleLeaseEnd,
                processedSequence,
                Math.max(storedSequence, sequence));
    }
}
