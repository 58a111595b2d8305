package org.jujubefork.client.worker;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/** Outcome of a request for a worker's lease or for its renewal. */
public sealed interface LeaseResult {
    /**
     * The worker accepted the epoch and granted or renewed the lease. The time to live counts from
     * when the request was sent.
     *
     * @param worker identifier of the worker; empty for a renewal
     * @param incarnation incarnation of the worker; changes with each restart
     * @param revision revision of the worker's list of running tasks, 0 if the worker reports none
     * @param capacity resources available to tasks
     * @param slots maximum number of concurrent requests
     * @param leaving whether the worker is about to be removed
     * @param running complete list of running tasks; their usage lags behind by seconds
     * @param ended ended tasks whose completion is not acknowledged
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
     * The worker rejected the request because it accepts another epoch. For a lease request, that
     * epoch is higher than the requested one.
     *
     * @param current epoch that the worker currently accepts
     */
    record Refused(Epoch current) implements LeaseResult {}

    /**
     * The worker has no lease to renew: the lease expired, or the worker restarted. The owner must
     * request a new lease.
     *
     * @param incarnation incarnation of the worker; a change means that the worker restarted
     */
    record NoLease(long incarnation) implements LeaseResult {}

    /**
     * No connection was established.
     *
     * @param reason description of the failure, for logs
     */
    record NotConnected(String reason) implements LeaseResult {}

    /**
     * The worker may have accepted the epoch or renewed the lease.
     *
     * @param reason description of the failure, for logs
     */
    record Unknown(String reason) implements LeaseResult {}
}
