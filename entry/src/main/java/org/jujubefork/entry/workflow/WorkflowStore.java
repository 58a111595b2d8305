package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.pcollections.PMap;

/**
 * The platform's store as the daemon uses it. Calls block and are made on virtual threads.
 *
 * <p>The methods that wait throw {@link IOException} when the store gave no usable answer.
 */
public interface WorkflowStore {
    /**
     * Replaces the record of the leader and reads jobs and workers.
     *
     * @param claim the condition and the new term
     * @param entry the name of the entry that wants to lead
     * @param address where other entries reach it
     */
    ClaimResult claimLeadership(WorkflowEffect.Claim claim, String entry, String address);

    /** Renews the lease of the leader {@code leader}, or makes a new one if it has ended. */
    void renewLeaderLease(LeaderRecord leader) throws IOException;

    /** Writes {@code commit}. */
    CommitResult commit(WorkflowEffect.Commit commit);

    /** Follows the record of the leader. */
    Watch<Optional<LeaderRecord>> watchLeader();

    /** Follows the operators' configuration. */
    Watch<Optional<CellConfiguration>> watchConfiguration();

    /** Follows the list of workers. */
    Watch<PMap<String, WorkerNode.Listing>> watchWorkers();

    /**
     * Something in the store that changes. Not safe for use by several threads.
     *
     * @param <T> the value
     */
    @FunctionalInterface
    interface Watch<T> {
        /**
         * Returns the newest value; waits for a change after the first call.
         *
         * @param maxWait how long to wait for a change
         */
        T next(Duration maxWait) throws IOException, InterruptedException;
    }
}
