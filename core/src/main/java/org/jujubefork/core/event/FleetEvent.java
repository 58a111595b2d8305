package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PVector;

/** News of workers: the VM list, and answers about leases. */
public sealed interface FleetEvent extends Event {
    /**
     * The VM list was read.
     *
     * @param atMillis when
     * @param workers all workers on the list
     */
    record WorkersListed(long atMillis, PVector<WorkerListing> workers) implements FleetEvent {}

    /**
     * A worker granted or renewed the lease.
     *
     * @param atMillis when the answer arrived
     * @param worker the worker
     * @param epoch the epoch under which it was asked
     * @param sentAtMillis when the request was sent; the lease runs at least from here
     * @param report the worker's state
     */
    record LeaseGranted(
            long atMillis, WorkerId worker, Epoch epoch, long sentAtMillis, WorkerReport report)
            implements FleetEvent {}

    /**
     * A worker refused the lease.
     *
     * @param atMillis when the answer arrived
     * @param worker the worker
     * @param epoch the epoch under which it was asked
     * @param currentEpoch the epoch that the worker keeps; empty if it has no lease in force under
     *     {@code epoch}
     */
    record LeaseRefused(long atMillis, WorkerId worker, Epoch epoch, Optional<Epoch> currentEpoch)
            implements FleetEvent {}

    /**
     * A worker did not answer a lease request.
     *
     * @param atMillis when that was found
     * @param worker the worker
     * @param epoch the epoch under which it was asked
     */
    record LeaseFailed(long atMillis, WorkerId worker, Epoch epoch) implements FleetEvent {}
}
