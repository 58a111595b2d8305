package org.jujubefork.core.workflow;

import java.util.OptionalLong;

/** Grants leases to workers, and determines which fencing tokens their orders carry. */
final class WorkerLeases {
    private WorkerLeases() {}

    /** Sends the lease renewals that are due. */
    static WorkflowTransition renewDue(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (WorkerNode node : state.workers().values()) {
            result = result.then(s -> renewIfDue(s, node.id()));
        }
        return result;
    }

    /** Sends a lease renewal to {@code worker} if it is due. */
    static WorkflowTransition renewIfDue(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        return node != null && !node.contact().renewalInFlight() && isRenewalDue(state, node)
                ? renew(state, node)
                : WorkflowTransition.of(state);
    }

    private static boolean isRenewalDue(WorkflowState state, WorkerNode node) {
        WorkerContact contact = node.contact();
        if (!node.listed() && node.charges().isEmpty() && contact.reached()) {
            return false;
        }
        boolean nextIsUseful = contact.areCompletionsStored() && !awaitsFence(state, contact);
        return contact.renewalSentAt() < 0
                || (contact.lastRenewalAnswered() && nextIsUseful)
                || state.now() - contact.renewalSentAt() >= WorkflowLimits.RENEWAL_RETRY_MILLIS;
    }

    /** Returns whether a commit has to raise the fencing token for a new incarnation. */
    private static boolean awaitsFence(WorkflowState state, WorkerContact contact) {
        Incarnation incarnation = contact.incarnation();
        return !incarnation.isFenced()
                && renewalFence(state, contact) <= incarnation.previousFence();
    }

    /**
     * Returns the fencing token of the next lease renewal. The token for a new incarnation is the
     * revision of the newest commit: that is higher than all tokens sent before the commit, and
     * lower than the revision of the next leader's record.
     */
    private static long renewalFence(WorkflowState state, WorkerContact contact) {
        return contact.incarnation().isFenced()
                ? contact.incarnation().fence()
                : Math.max(state.fence(), state.commitQueue().previousRevision());
    }

    /**
     * Returns the fencing token of a command. Only lease renewals raise the token that a worker
     * knows, because their answers show that the worker has seen it.
     */
    static long commandFence(WorkflowState state, WorkerContact contact) {
        return contact.incarnation().isFenced()
                ? contact.incarnation().fence()
                : Math.max(state.fence(), contact.usedFence());
    }

    private static WorkflowTransition renew(WorkflowState state, WorkerNode node) {
        WorkerContact contact = node.contact();
        boolean isConfirmed = isRecentlyConfirmed(state, node);
        // A worker outside of the stored set has no runs, so it needs no lease.
        boolean isGranted = isConfirmed && state.commitQueue().isWorkerRecorded(node.id());
        OptionalLong newExpiry =
                isGranted
                        ? OptionalLong.of(expiryOnWorkerClock(state, node))
                        : OptionalLong.empty();
        // A restarted worker numbers its completions anew. Until the worker has answered, a
        // sequence number of its earlier incarnation could acknowledge completions that were never
        // processed.
        long acknowledgedSequence =
                contact.lastRenewalAnswered() ? contact.incarnation().storedSequence() : 0;
        boolean mayHoldAnswer = isConfirmed && contact.areCompletionsStored();
        long runsUntil =
                isGranted ? WorkflowLimits.addLeaseMargin(expiry(state)) : contact.runsUntil();
        long fence = renewalFence(state, contact);
        return WorkflowTransition.of(
                        state.with(
                                node.with(contact.withRenewalSent(state.now(), runsUntil, fence))))
                .with(
                        new WorkflowEffect.RenewLease(
                                node.listing(),
                                state.fence(),
                                fence,
                                acknowledgedSequence,
                                newExpiry,
                                mayHoldAnswer ? WorkflowLimits.MAX_RENEWAL_WAIT_MILLIS : 0));
    }

    /**
     * Returns whether the incarnation is confirmed and has answered lately. The expiry of a lease
     * is a time of its clock, so only then may a renewal grant one.
     */
    private static boolean isRecentlyConfirmed(WorkflowState state, WorkerNode node) {
        return node.contact().isIncarnationConfirmed()
                && state.now() - node.contact().lastContactAt()
                        < WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS;
    }

    /** Returns when a lease that is granted now expires. */
    static long expiry(WorkflowState state) {
        return WorkflowLimits.leaseExpiry(state.now(), state.leadership().confirmedAt());
    }

    /** Returns when a lease that is granted now expires, on the worker's clock. */
    static long expiryOnWorkerClock(WorkflowState state, WorkerNode node) {
        return expiry(state) + node.contact().incarnation().clockOffset();
    }
}
