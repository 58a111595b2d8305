package org.jujubefork.core.workflow;

import java.util.Map;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Maintains the set of workers and their incarnations, and determines whether all runs are known
 * after a takeover.
 */
final class Fleet {
    private Fleet() {}

    static WorkflowTransition workersListed(
            WorkflowState state, WorkflowEvent.WorkersListed event) {
        if (!state.leadership().leads()) {
            return WorkflowTransition.of(state);
        }
        WorkflowTransition result = WorkflowTransition.of(state);
        PMap<String, WorkerNode> workers = state.workers();
        for (WorkerNode.Listing listing : event.workers().values()) {
            WorkerNode previousNode = workers.get(listing.id());
            // An unknown worker is not in the stored set, so no earlier leader has granted it a
            // lease or started runs on it.
            WorkerNode node =
                    previousNode == null
                            ? WorkerNode.listed(listing)
                            : previousNode.withListing(listing, true);
            if (previousNode != null && previousNode.isRestartedIn(listing)) {
                node = node.with(withoutConfirmation(node.contact(), state.now()));
                result = result.with(restartListedLog(previousNode, listing, state.now()));
            }
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
        return result.withState(state.withWorkers(workers).withPlacementDue(true))
                .then(s -> ZoneEvacuation.noteUnknownZones(state, s));
    }

    /**
     * Returns {@code contact} after the worker list has shown a new incarnation. It may already
     * have carried out orders that were meant for the earlier one.
     */
    private static WorkerContact withoutConfirmation(WorkerContact contact, long now) {
        return contact.withoutConfirmation(now).withRunsUntil(WorkflowLimits.maxLeaseEnd(now));
    }

    private static WorkflowEffect restartListedLog(
            WorkerNode node, WorkerNode.Listing newer, long now) {
        return WorkflowEffect.LogEvent.of(
                "worker-restart-listed",
                node.id(),
                "born",
                newer.born(),
                "born_before",
                node.contact().born(),
                "tasks",
                node.charges().size(),
                "leases_ms_before",
                node.contact().runsUntil() - now,
                "answered_ms_ago",
                now - node.contact().lastContactAt());
    }

    /**
     * Returns whether all runs that earlier leaders may have started are known: each worker has
     * listed all of its runs and completions, its runs are recorded, or its leases have expired.
     */
    static boolean isRecovered(WorkflowState state) {
        return state.workers().values().stream()
                .map(WorkerNode::contact)
                .allMatch(c -> c.areCompletionsKnown() || c.runsUntil() < state.now());
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
                                        node.charges().size(),
                                        "born",
                                        node.contact().born(),
                                        "leases_ms",
                                        node.contact().runsUntil() - state.now()));
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
                                node.contact(),
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
                                state.now() - node.contact().lastContactAt(),
                                "born",
                                node.contact().born(),
                                "leases_ms",
                                node.contact().runsUntil() - state.now()));
    }

    /**
     * Handles a restart of a worker under the same identifier: {@code born} has answered in place
     * of the known incarnation. It may already have started some of the charged runs, so its report
     * determines for each run whether the run is active. It gets no new tasks before the worker
     * list shows what it is like, so the list is read at once.
     */
    static WorkflowTransition workerRestarted(WorkflowState state, String worker, long born) {
        WorkerNode node = state.workers().get(worker);
        WorkerContact contact = node.contact();
        WorkerNode restarted =
                node.with(
                                contact.with(Incarnation.unfenced(born, contact.usedFence()))
                                        .withRunsUntil(WorkflowLimits.maxLeaseEnd(state.now())))
                        .with(WorkerNode.Health.NEW);
        // The revision of the next commit is the fencing token of the new incarnation.
        WorkflowTransition result =
                WorkflowTransition.of(
                        state.with(restarted).with(state.commitQueue().withFleetDirty()));
        return (restarted.isListingCurrent()
                        ? result
                        : result.with(new WorkflowEffect.ReadWorkerList()))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "worker-restarted",
                                worker,
                                "born",
                                born,
                                "born_before",
                                contact.born(),
                                "born_listed",
                                node.listing().born(),
                                "clock_offset_before",
                                contact.incarnation().clockOffset(),
                                "tasks",
                                node.charges().size(),
                                "leases_ms_before",
                                contact.runsUntil() - state.now(),
                                "answered_ms_ago",
                                state.now() - contact.lastContactAt()));
    }

    /**
     * Processes that {@code answering}, which may differ from the known incarnation, has answered a
     * renewal. Logs when it begins to reject the orders that were meant for an earlier incarnation.
     *
     * @param allEndedListed whether the answer lists all completions that are not acknowledged
     */
    static WorkflowTransition incarnationAnswered(
            WorkflowState state, String worker, Incarnation answering, boolean allEndedListed) {
        WorkerNode node = state.workers().get(worker);
        boolean becomesFenced = answering.isFenced() && !node.contact().incarnation().isFenced();
        WorkerContact contact =
                node.contact().withRenewalAnswered(answering, state.now(), allEndedListed);
        boolean endsStaleOrders = becomesFenced && answering.previousFence() > 0;
        if (!endsStaleOrders) {
            return WorkflowTransition.of(state.with(node.with(contact)));
        }
        return WorkflowTransition.of(
                        state.with(node.with(contact.withRunsUntil(answering.staleLeaseEnd()))))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "worker-fenced",
                                worker,
                                "born",
                                answering.born(),
                                "clock_offset",
                                answering.clockOffset(),
                                "fence",
                                answering.fence(),
                                "stale_leases_ms",
                                Math.max(0, answering.staleLeaseEnd() - state.now())));
    }

    /**
     * Marks the stored set of workers as changed if it names other incarnations than it should by
     * now.
     */
    static WorkflowTransition recordIncarnations(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        boolean isCurrent =
                state.workers().values().stream()
                        .filter(w -> queue.isWorkerRecorded(w.id()))
                        .allMatch(w -> queue.recordedBorn(w.id()) == recordableBorn(state, w));
        return WorkflowTransition.of(
                isCurrent || queue.fleetDirty() ? state : state.with(queue.withFleetDirty()));
    }

    /**
     * Returns the incarnation of {@code node} that the stored set of workers names. Returns 0 while
     * leases that orders for earlier incarnations have set may outlast those that are granted now.
     */
    static long recordableBorn(WorkflowState state, WorkerNode node) {
        long grantedLeaseEnd = WorkflowLimits.addLeaseMargin(WorkerLeases.expiry(state));
        boolean isBounded =
                node.contact().incarnation().staleLeaseEnd()
                        <= Math.max(state.now(), grantedLeaseEnd);
        return isBounded ? node.contact().born() : 0;
    }

    /**
     * Returns whether all leases of {@code node} end in time for the next leader, which waits
     * longer for a worker whose incarnation the stored set of workers does not name.
     */
    static boolean areLeasesBounded(WorkflowState state, WorkerNode node) {
        // The store confirms no leader after the claim of the next one.
        long nextLeaderWaitsUntil = WorkflowLimits.maxLeaseEnd(state.leadership().confirmedAt());
        boolean isLongWaitRecorded =
                state.commitQueue().isRecordedWithoutIncarnation(node.id())
                        && node.contact().incarnation().staleLeaseEnd() <= nextLeaderWaitsUntil;
        return isLongWaitRecorded || recordableBorn(state, node) != 0;
    }
}
