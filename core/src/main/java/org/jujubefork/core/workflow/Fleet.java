package org.jujubefork.core.workflow;

import java.util.Map;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Maintains the set of workers and their leases, and determines whether all runs are known after a
 * takeover.
 */
final class Fleet {
    private Fleet() {}

    static WorkflowTransition workersListed(
            WorkflowState state, WorkflowEvent.WorkersListed event) {
        if (!state.leadership().leads()) {
            return WorkflowTransition.of(state);
        }
        PMap<String, WorkerNode> workers = state.workers();
        for (WorkerNode.Listing listing : event.workers().values()) {
            WorkerNode previousNode = workers.get(listing.id());
            // An unknown worker is not in the stored set, so no earlier leader has started runs on
            // it.
            WorkerNode node =
                    previousNode == null
                            ? WorkerNode.of(listing, 0)
                            : previousNode.withListing(listing, true);
            workers = workers.plus(listing.id(), node);
        }
        for (WorkerNode previousNode : state.workers().values()) {
            if (previousNode.listed() && !event.workers().containsKey(previousNode.id())) {
                workers =
                        workers.plus(
                                previousNode.id(),
                                previousNode.withListing(previousNode.listing(), false));
            }
        }
        return WorkflowTransition.of(state.withWorkers(workers).withPlacementDue(true));
    }

    /**
     * Returns whether all runs that earlier leaders may have started are known: each worker has
     * answered, its runs are recorded, or its leases have expired.
     */
    static boolean isRecovered(WorkflowState state) {
        return state.workers().values().stream()
                .allMatch(w -> w.contact().areRunsKnown() || w.contact().runsUntil() < state.now());
    }

    /** Logs that all runs of earlier terms are known, once in a term. */
    static WorkflowTransition noteRecovery(WorkflowState state) {
        if (state.recovery().complete() || !isRecovered(state)) {
            return WorkflowTransition.of(state);
        }
        return WorkflowTransition.of(state.with(state.recovery().asComplete()))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "recovered",
                                state.term(),
                                "leads_ms",
                                state.now() - state.recovery().leadsSince(),
                                "workers",
                                state.workers().size(),
                                "unreached",
                                unreachedCount(state)));
    }

    /** Returns the number of workers that have not answered in this term. */
    static long unreachedCount(WorkflowState state) {
        return state.workers().values().stream().filter(w -> !w.contact().reached()).count();
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
        // The worker may have moved since the renewal was sent, and have runs at its new address.
        boolean isReplaced =
                event.failure() == CommandOutcome.OTHER_WORKER
                        && event.address().equals(node.listing().address());
        return isReplaced ? result.then(s -> addressReused(s, event.worker())) : result;
    }

    /**
     * Handles a renewal that was answered by another worker, which uses the address now: no run of
     * the previous worker is active any more.
     */
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

    private static WorkflowState withSilentWorkersDirty(WorkflowState state) {
        return state.with(state.commitQueue().withSilentWorkersDirty());
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
                // Removes the worker from the stored set, so that the next leader does not wait for
                // it.
                WorkflowState current = result.state();
                result = result.withState(current.with(current.commitQueue().withFleetDirty()));
            }
        }
        return result;
    }

    /**
     * Releases all runs of a worker that has become unreachable or was replaced. The runs have
     * ended, but their completions were not reported.
     */
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
        for (Map.Entry<TaskKey, WorkerNode.Charge> taskAndCharge : node.charges().entrySet()) {
            next =
                    RunCompletions.runLost(
                            next, taskAndCharge.getKey(), taskAndCharge.getValue().runNumber());
        }
        if (next.commitQueue().newestSilentWorkers().contains(worker)) {
            // The record still names the lost runs.
            next = withSilentWorkersDirty(next);
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
     * Handles a restart of a worker under the same identifier. The new incarnation numbers its
     * completions anew and may already have started some of the charged runs, so its report
     * determines for each run whether the run is active.
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

    /** Sends the lease renewals that are due. */
    static WorkflowTransition renewDueLeases(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            result = result.then(s -> renewLeaseIfDue(s, node.id()));
        }
        return result;
    }

    /** Sends a lease renewal to {@code worker} if it is due. */
    static WorkflowTransition renewLeaseIfDue(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        return node != null && !node.contact().renewalInFlight() && isRenewalDue(state, node)
                ? renewLease(state, node)
                : WorkflowTransition.of(state);
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
        // A restarted worker numbers its completions anew. Until the worker has answered, a
        // sequence number of its earlier incarnation could acknowledge completions that were never
        // processed.
        long acknowledgedSequence = contact.lastRenewalAnswered() ? contact.storedSequence() : 0;
        boolean mayHoldAnswer =
                reachable
                        && contact.lastRenewalAnswered()
                        && contact.storedSequence() >= contact.processedSequence();
        long runsUntil =
                reachable ? WorkflowLimits.addLeaseMargin(leaseExpiry(state)) : contact.runsUntil();
        return WorkflowTransition.of(
                        state.with(node.with(contact.withRenewalSent(state.now(), runsUntil))))
                .with(
                        new WorkflowEffect.RenewLease(
                                node.listing(),
                                state.fence(),
                                acknowledgedSequence,
                                expiry,
                                mayHoldAnswer ? WorkflowLimits.MAX_RENEWAL_WAIT_MILLIS : 0));
    }

    /** Returns when a lease that is granted now expires. */
    static long leaseExpiry(WorkflowState state) {
        return WorkflowLimits.leaseExpiry(state.now(), state.leadership().confirmedAt());
    }

    /** Returns when a lease that is granted now expires, on the worker's clock. */
    static long leaseExpiryOnWorkerClock(WorkflowState state, WorkerNode node) {
        return leaseExpiry(state) + node.contact().clockOffset();
    }
}
