package org.jujubefork.client.worker;

import java.util.List;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/** What is known after the renewal of a worker's lease. */
public sealed interface RenewResult {
    /**
     * The lease runs for another time to live, counted from when the renewal was sent.
     *
     * @param incarnation changes with each restart of the worker
     * @param revision the worker's name for this state of its running tasks, 0 if it gives none
     * @param capacity what tasks may use
     * @param slots how many requests run at once
     * @param leaving whether the worker is about to be removed
     * @param running all tasks that run now, with their lagging usage; never a part of them
     * @param ended tasks that ended and are not acknowledged
     */
    record Renewed(
            long incarnation,
            long revision,
            Resources capacity,
            int slots,
            boolean leaving,
            List<RunningTask> running,
            List<EndedTask> ended)
            implements RenewResult {
        /** Copies the lists. */
        public Renewed {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }

    /**
     * The worker obeys another epoch.
     *
     * @param current the epoch that the worker obeys
     */
    record Refused(Epoch current) implements RenewResult {}

    /**
     * The worker has no lease to renew: it has lapsed, or the worker was restarted. The owner asks
     * for a new lease.
     *
     * @param incarnation the worker's incarnation; another one than before means a restart
     */
    record NoLease(long incarnation) implements RenewResult {}

    /**
     * No connection was established.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements RenewResult {}

    /**
     * The worker may have renewed the lease.
     *
     * @param reason the failure, for logs
     */
    record Unknown(String reason) implements RenewResult {}
}
