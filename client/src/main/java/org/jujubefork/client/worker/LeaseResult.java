package org.jujubefork.client.worker;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/** What is known after a request to own a worker or to renew its lease. */
public sealed interface LeaseResult {
    /**
     * The worker obeys the epoch; its lease runs for the time to live from when this was asked for.
     *
     * @param worker the worker's identifier; renewals do not give it
     * @param incarnation changes with each restart of the worker
     * @param revision the worker's name for this state of its running tasks, 0 if it gives none
     * @param capacity what tasks may use
     * @param slots how many requests run at once
     * @param leaving whether the worker is about to be removed
     * @param running all tasks that run now, with their lagging usage; never a part of them
     * @param ended tasks that ended and are not acknowledged
     */
    record Granted(
            Optional<WorkerId> worker,
            long incarnation,
            long revision,
            Resources capacity,
            int slots,
            boolean leaving,
            List<RunningTask> running,
            List<EndedTask> ended)
            implements LeaseResult {
        /** Copies the lists. */
        public Granted {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }

    /**
     * The worker obeys another epoch, which is higher if a lease was asked for.
     *
     * @param current the epoch that the worker obeys
     */
    record Refused(Epoch current) implements LeaseResult {}

    /**
     * The worker has no lease to renew: it has lapsed, or the worker was restarted. The owner asks
     * for a new lease.
     *
     * @param incarnation the worker's incarnation; another one than before means a restart
     */
    record NoLease(long incarnation) implements LeaseResult {}

    /**
     * No connection was established.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements LeaseResult {}

    /**
     * The worker may have taken the epoch or renewed the lease.
     *
     * @param reason the failure, for logs
     */
    record Unknown(String reason) implements LeaseResult {}
}
