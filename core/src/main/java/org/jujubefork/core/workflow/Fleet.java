package org.jujubefork.core.workflow;

import java.util.Map;
import java.util.OptionalLong;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The workers: which there are, their leases, and what is still to be learned after a takeover. */
final class Fleet {
    private Fleet() {}

    static WorkflowTransition listed(WorkflowState state, WorkflowEvent.WorkersListed event) {
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

    static WorkflowTransition holdFailed(
            WorkflowState state, WorkflowEvent.LeaseRenewalFailed event) {
        WorkerNode node = state.workers().get(event.worker());
        if (node == null) {
            return WorkflowTransition.of(state);
        }
        WorkflowState next = state.with(node.with(node.contact().unanswered()));
        if (event.failure() == CommandOutcome.FENCED) {
            next = next.with(next.leadership().unconfirmed(next.now()));
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
                                        state.now() - node.contact().answeredAt(),
                                        "charges",
                                        node.charges().size()));
        return event.failure() == CommandOutcome.OTHER_WORKER
                ? result.then(s -> replaced(s, event.worker()))
                : result;
    }

    /** Another worker has the address, so that nothing runs under the identifier any more. */
    private static WorkflowTransition replaced(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        WorkflowState next = state.with(node.with(node.contact().ended())).withPlacementDue(true);
        WorkflowTransition result =
                node.charges().isEmpty()
                        ? WorkflowTransition.of(next)
                        : lost(next, worker, "replaced");
        return node.listed() ? result : result.withState(forgotten(result.state(), worker));
    }

    private static WorkflowState forgotten(WorkflowState state, String worker) {
        return state.withWorkers(state.workers().minus(worker))
                .with(state.commits().withFleetDirty());
    }

    static WorkflowTransition tick(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            if (!node.isAbandoned(state.now())) {
                continue;
            }
            if (!node.charges().isEmpty()) {
                result = result.then(s -> lost(s, node.id(), "lease-ended"));
            } else if (!node.listed()) {
                result = result.withState(forgotten(result.state(), node.id()));
            } else if (result.state().commits().listsWorker(node.id())) {
                // The next leader does not wait for a worker that runs nothing.
                WorkflowState current = result.state();
                result = result.withState(current.with(current.commits().withFleetDirty()));
            }
        }
        return result;
    }

    /** Everything on a worker has ended without an end being listed. */
    static WorkflowTransition lost(WorkflowState state, String worker, String reason) {
        WorkerNode node = state.workers().get(worker);
        WorkflowState next =
                state.with(
                        new WorkerNode(
                                node.listing(),
                                node.listed(),
                                node.contact().reborn(),
                                HashTreePMap.empty(),
                                node.health()));
        for (Map.Entry<TaskKey, WorkerNode.Charge> entry : node.charges().entrySet()) {
            next = RunCompletions.lost(next, entry.getKey(), entry.getValue().run());
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
                                state.now() - node.contact().answeredAt()));
    }

    /**
     * A worker has started anew under its identifier, and counts its ends anew. Some of the charged
     * runs may have been started in the new life already, so that its report decides on each.
     */
    static WorkflowTransition restarted(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        return WorkflowTransition.of(state.with(node.with(node.contact().reborn())))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "worker-restarted",
                                worker,
                                "tasks",
                                node.charges().size(),
                                "answered_ms_ago",
                                state.now() - node.contact().answeredAt()));
    }

    /** Sends the lease calls that are due. */
    static WorkflowTransition holdAll(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            if (!node.contact().holding() && isDue(state, node)) {
                result = result.then(s -> hold(s, s.workers().get(node.id())));
            }
        }
        return result;
    }

    private static boolean isDue(WorkflowState state, WorkerNode node) {
        WorkerNode.Contact contact = node.contact();
        if (!node.listed() && node.charges().isEmpty() && contact.reached()) {
            return false;
        }
        boolean allNoted = contact.noted() >= contact.seen();
        return contact.heldAt() < 0
                || (contact.answeredLast() && allNoted)
                || state.now() - contact.heldAt() >= WorkflowLimits.HOLD_RETRY_MILLIS;
    }

    private static WorkflowTransition hold(WorkflowState state, WorkerNode node) {
        WorkerNode.Contact contact = node.contact();
        boolean fresh =
                contact.answeredAt() >= 0
                        && contact.reached()
                        && state.now() - contact.answeredAt()
                                < WorkflowLimits.WORKER_SILENCE_MILLIS;
        OptionalLong until =
                fresh ? OptionalLong.of(leaseOnClock(state, node)) : OptionalLong.empty();
        // A worker that has restarted numbers its ends anew; until it has answered, a number of its
        // earlier life could acknowledge ends that nobody has seen.
        long acknowledged = contact.answeredLast() ? contact.noted() : 0;
        boolean wait = fresh && contact.noted() >= contact.seen();
        long runsUntil = fresh ? WorkflowLimits.afterLease(leaseUntil(state)) : contact.runsUntil();
        return WorkflowTransition.of(state.with(node.with(contact.holding(state.now(), runsUntil))))
                .with(
                        new WorkflowEffect.RenewLease(
                                node.listing(),
                                state.fence(),
                                acknowledged,
                                until,
                                wait ? WorkflowLimits.HOLD_WAIT_MILLIS : 0));
    }

    /** Returns the end of a lease that is given now. */
    static long leaseUntil(WorkflowState state) {
        return WorkflowLimits.leaseUntil(state.now(), state.leadership().confirmedAt());
    }

    /** Returns the end of a lease that is given now, on the worker's clock. */
    static long leaseOnClock(WorkflowState state, WorkerNode node) {
        return leaseUntil(state) + node.contact().clockOffset();
    }
}
