package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;

/**
 * The status of the fleet, as known to one entry.
 *
 * @param entry the entry that reports the status
 * @param nowMillis time of the status by the monotonic clock of that entry, in milliseconds
 * @param draining whether that entry is draining
 * @param configurationVersion the configuration version in force; 0 if there is none
 * @param configurationFresh whether the configuration is recent enough to check access keys against
 *     it
 * @param storeReachable whether the store answered recently
 * @param members the other entries
 * @param shards all shards that have workers on the VM list
 * @param teams all configured teams
 * @param activeJobs number of jobs that have not ended
 * @param endedJobs number of ended jobs whose records are retained
 * @param unpersistedJobs number of jobs with changes that the store has not confirmed
 */
public record FleetStatus(
        EntryId entry,
        long nowMillis,
        boolean draining,
        long configurationVersion,
        boolean configurationFresh,
        boolean storeReachable,
        PVector<MemberStatus> members,
        PVector<ShardStatus> shards,
        PVector<TeamExplanation> teams,
        int activeJobs,
        int endedJobs,
        int unpersistedJobs) {
    /**
     * The status of another entry.
     *
     * @param id name and incarnation of the entry
     * @param zone availability zone of its VM
     * @param alive whether its heartbeats are recent enough to consider it alive
     * @param leaving whether it is draining
     * @param configurationVersion the configuration version in force there
     * @param lastHeartbeatMillis when its last heartbeat arrived, by the clock of {@code nowMillis}
     */
    public record MemberStatus(
            EntryId id,
            String zone,
            boolean alive,
            boolean leaving,
            long configurationVersion,
            long lastHeartbeatMillis) {}

    /**
     * The status of a shard.
     *
     * @param shard identifier of the shard
     * @param owner its owner; empty if no live owner is known
     * @param epoch the epoch of its owner; empty if no live owner is known
     * @param listedWorkers number of workers on the VM list
     * @param usableWorkers number of workers that accept new work
     * @param capacity total capacity of its workers
     * @param free total free capacity of its workers
     * @param queued number of requests and tasks in its queue
     */
    public record ShardStatus(
            ShardId shard,
            Optional<EntryId> owner,
            Optional<Epoch> epoch,
            int listedWorkers,
            int usableWorkers,
            Resources capacity,
            Resources free,
            int queued) {}
}
