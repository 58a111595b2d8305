package org.jujubefork.core.workflow;

import java.util.Map;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The workers: which there are, their leases, and what is still to be learned after a takeover. */
final class Fleet {
    private Fleet() {}

    static WorkflowTransition workersListed(
            WorkflowState state, WorkflowEvent.WorkersListed event) {
        if (!state.leadership().leads()) {
            return WorkflowTransition.of(state);
        }
        PMap<String, WorkerNode> workers = state.workers();
        for (WorkerNode.Listing listing : event.workers().values()) {
            WorkerNode known = workers.get(listing.id());
            // A worker that no leader has used runs nothing of ours.
            WorkerNode node =
                    known == null ? WorkerNode.of(listing, 0) : known.withListing(listing, true);
            workers = workers.plus(listing.id(), node);
        }
        for (WorkerNode known : state.workers().values()) {
            if (known.listed() && !event.workers().containsKey(known.id())) {
                workers = workers.plus(known.id(), known.withListing(known.listing(), false));
            }
        }
        return WorkflowTransition.of(state.withWorkers(workers).withPlacementDue(true));
    }

    /** Returns whether all that earlier leaders may have started is known. */
    static boolean isRecovered(WorkflowState state) {
        return state.workers().values().stream()
                .allMatch(w -> w.contact().reached() || w.contact().runsUntil() < state.now());
    }

    static WorkflowTransition leaseRenewalFailed(
            WorkflowState state, WorkflowEvent.LeaseRenewalFailed event) {
        WorkerNode node = state.workers().get(event.worker());
        if (node == null) {
            return WorkflowTransition.of(state);
        }
        WorkflowState next = state.with(node.with(node.contact().withRenewalFailed()));
        if (event.failure() == CommandOutcome.FENCED) {
            next = next.with(next.leadership().withoutConfirmation(next.now()));
        }
        WorkflowTransition result =
                WorkflowTransition.of(next)
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "worker-silent",
                                        event.worker(),
                                        "outcome",
                                        event.failure(),
                                        "answered_ms_ago",
                                        state.now() - node.contact().lastContactAt(),
                                        "charges",
                                        node.charges().size()));
        return event.failure() == CommandOutcome.OTHER_WORKER
                ? result.then(s -> addressReused(s, event.worker()))
                : result;
    }

    /** Another worker has the address, so that nothing runs under the identifier any more. */
    private static WorkflowTransition addressReused(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        WorkflowState next =
                state.with(node.with(node.contact().withNoRuns())).withPlacementDue(true);
        WorkflowTransition result =
                node.charges().isEmpty()
                        ? WorkflowTransition.of(next)
                        : runsLost(next, worker, "replaced");
        return node.listed() ? result : result.withState(withoutWorker(result.state(), worker));
    }

    private static WorkflowState withoutWorker(WorkflowState state, String worker) {
        return state.withWorkers(state.workers().minus(worker))
                .with(state.commitQueue().withFleetDirty());
    }

    static WorkflowTransition checkExpiredLeases(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            if (!node.isUnreachableAndIdle(state.now())) {
                continue;
            }
            if (!node.charges().isEmpty()) {
                result = result.then(s -> runsLost(s, node.id(), "lease-ended"));
            } else if (!node.listed()) {
                result = result.withState(withoutWorker(result.state(), node.id()));
            } else if (result.state().commitQueue().isWorkerRecorded(node.id())) {
                // The next leader does not wait for a worker that runs nothing.
                WorkflowState current = result.state();
                result = result.withState(current.with(current.commitQueue().withFleetDirty()));
            }
        }
        return result;
    }

    /** Everything on a worker has ended without an end being listed. */
    static WorkflowTransition runsLost(WorkflowState state, String worker, String reason) {
        WorkerNode node = state.workers().get(worker);
        WorkflowState next =
                state.with(
                        new WorkerNode(
                                node.listing(),
                                node.listed(),
                                node.contact().withNewIncarnation(),
                                HashTreePMap.empty(),
                                node.health()));
        for (Map.Entry<TaskKey, WorkerNode.Charge> entry : node.charges().entrySet()) {
            next = RunCompletions.lost(next, entry.getKey(), entry.getValue().runNumber());
        }
        return WorkflowTransition.of(next.withPlacementDue(true))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "worker-lost",
                                worker,
                                "reason",
                                reason,
                                "tasks",
                                node.charges().size(),
                                "answered_ms_ago",
                                state.now() - node.contact().lastContactAt()));
    }

    /**
     * A worker has started anew under its identifier, and counts its ends anew. Some of the charged
     * runs may have been started in the new life already, so that its report decides on each.
     */
    static WorkflowTransition workerRestarted(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        return WorkflowTransition.of(state.with(node.with(node.contact().withNewIncarnation())))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "worker-restarted",
                                worker,
                                "tasks",
                                node.charges().size(),
                                "answered_ms_ago",
                                state.now() - node.contact().lastContactAt()));
    }

    /** Sends the lease calls that are due. */
    static WorkflowTransition renewDueLeases(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            if (!node.contact().renewalInFlight() && isRenewalDue(state, node)) {
                result = result.then(s -> renewLease(s, s.workers().get(node.id())));
            }
        }
        return result;
    }

    private static boolean isRenewalDue(WorkflowState state, WorkerNode node) {
        WorkerNode.Contact contact = node.contact();
        if (!node.listed() && node.charges().isEmpty() && contact.reached()) {
            return false;
        }
        boolean allStored = contact.storedSequence() >= contact.processedSequence();
        return contact.renewalSentAt() < 0
                || (contact.lastRenewalAnswered() && allStored)
                || state.now() - contact.renewalSentAt() >= WorkflowLimits.RENEWAL_RETRY_MILLIS;
    }

    private static WorkflowTransition renewLease(WorkflowState state, WorkerNode node) {
        WorkerNode.Contact contact = node.contact();
        boolean reachable =
                contact.lastContactAt() >= 0
                        && contact.reached()
                        && state.now() - contact.lastContactAt()
                                < WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS;
        OptionalLong expiry =
                reachable
                        ? OptionalLong.of(leaseExpiryOnWorkerClock(state, node))
                        : OptionalLong.empty();
        // A worker that has restarted numbers its ends anew; until it has answered, a number of its
        // earlier life could acknowledge ends that nobody has seen.
        long acknowledged = contact.lastRenewalAnswered() ? contact.storedSequence() : 0;
        boolean wait = reachable && contact.storedSequence() >= contact.processedSequence();
        long runsUntil =
                reachable ? WorkflowLimits.addLeaseMargin(leaseExpiry(state)) : contact.runsUntil();
        return WorkflowTransition.of(
                        state.with(node.with(contact.withRenewalSent(state.now(), runsUntil))))
                .with(
                        new WorkflowEffect.RenewLease(
                                node.listing(),
                                state.fence(),
                                acknowledged,
                                expiry,
                                wait ? WorkflowLimits.MAX_RENEWAL_WAIT_MILLIS : 0));
    }

    /** Returns the end of a lease that is given now. */
    static long leaseExpiry(WorkflowState state) {
        return WorkflowLimits.leaseExpiry(state.now(), state.leadership().confirmedAt());
    }

    /** Returns the end of a lease that is given now, on the worker's clock. */
    static long leaseExpiryOnWorkerClock(WorkflowState state, WorkerNode node) {
        return leaseExpiry(state) + node.contact().clockOffset();
    }
}
