package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.pcollections.PMap;

/**
 * The platform's store as the daemon uses it. The methods block and are called on virtual threads.
 *
 * <p>Methods that declare {@link IOException} throw it if the store gives no usable answer.
 */
public interface WorkflowStore {
    /**
     * Tries to make {@code entry} the leader by replacing the leader's record, and on success reads
     * the stored jobs and workers and, in deployments with evacuations, the requests to evacuate
     * zones. A claim whose reads fail counts as not won.
     *
     * @param claim the revision that the replaced record must have, and the new term
     * @param entry the name of the entry that claims leadership
     * @param address the address on which it accepts connections of other entries
     */
    ClaimResult claimLeadership(WorkflowEffect.Claim claim, String entry, String address);

    /** Renews the lease of {@code leader}, or grants it a new one if the lease has expired. */
    void renewLeaderLease(LeaderRecord leader) throws IOException;

    /** Writes the records of {@code commit}, unless its leader has been replaced. */
    CommitResult commit(WorkflowEffect.Commit commit);

    /** Returns a new watch on the leader's record. Its value is empty if there is no record. */
    Watch<Optional<LeaderRecord>> watchLeader();

    /**
     * Returns a new watch on the operators' configuration and, in deployments with evacuations, on
     * their requests to evacuate zones.
     */
    Watch<OperatorRecords> watchOperators();

    /** Returns a new watch on the list of workers, by identifier. */
    Watch<PMap<String, WorkerNode.Listing>> watchWorkers();

    /**
     * A watch on a value in the store. Not thread-safe.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    interface Watch<T> {
        /**
         * Returns the newest value. The first call returns at once; later calls wait for a change.
         *
         * @param maxWait how long to wait for a change before the unchanged value is returned
         * @throws IOException if the store gives no usable answer
         */
        T next(Duration maxWait) throws IOException, InterruptedException;
    }
}
