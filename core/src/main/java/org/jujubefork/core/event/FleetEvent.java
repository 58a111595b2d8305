package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PVector;

/** Changes of the VM list, and results of lease requests to workers. */
public sealed interface FleetEvent extends Event {
    /**
     * The VM list was read.
     *
     * @param atMillis when the list was received
     * @param workers all workers on the list
     */
    record WorkersListed(long atMillis, PVector<WorkerListing> workers) implements FleetEvent {}

    /**
     * A worker granted or renewed the lease.
     *
     * @param atMillis when the answer arrived
     * @param worker identifier of the worker
     * @param epoch the epoch that the request carried
     * @param sentAtMillis when the request was sent; the lease starts at this time or later
     * @param report the state that the worker reported
     */
    record LeaseGranted(
            long atMillis, WorkerId worker, Epoch epoch, long sentAtMillis, WorkerReport report)
            implements FleetEvent {}

    /**
     * A worker refused to grant or renew the lease.
     *
     * @param atMillis when the answer arrived
     * @param worker identifier of the worker
     * @param epoch the epoch that the request carried
     * @param currentEpoch the higher epoch that the worker has accepted; empty if the worker
     *     refused because it has no lease in force under {@code epoch}
     */
    record LeaseRefused(long atMillis, WorkerId worker, Epoch epoch, Optional<Epoch> currentEpoch)
            implements FleetEvent {}

    /**
     * A worker did not answer a lease request.
     *
     * @param atMillis when the request timed out or its connection failed
     * @param worker identifier of the worker
     * @param epoch the epoch that the request carried
     */
    record LeaseFailed(long atMillis, WorkerId worker, Epoch epoch) implements FleetEvent {}
}
