package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;

/**
 * The fleet as one entry sees it.
 *
 * @param entry the entry that answers
 * @param nowMillis its clock, in milliseconds
 * @param draining whether it is stopping
 * @param configurationVersion the version in force; 0 if none
 * @param configurationFresh whether keys may be checked against that version
 * @param storeReachable whether the store answered lately
 * @param members other entries
 * @param shards all shards on the VM list
 * @param teams all teams
 * @param activeJobs jobs that have not ended
 * @param endedJobs ended jobs of which the record is kept
 * @param unpersistedJobs jobs with changes that the store has not confirmed
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
     * Another entry.
     *
     * @param id its run
     * @param zone where it stands
     * @param alive whether it counts as alive
     * @param leaving whether it is about to stop
     * @param configurationVersion the version in force there
     * @param lastContactMillis when news of it last arrived
     */
    public record MemberStatus(
            EntryId id,
            String zone,
            boolean alive,
            boolean leaving,
            long configurationVersion,
            long lastContactMillis) {}

    /**
     * A shard.
     *
     * @param shard the shard
     * @param owner its owner; empty if no live one is known
     * @param epoch the owner's authority
     * @param listedWorkers workers on the VM list
     * @param usableWorkers workers that take work
     * @param capacity what its workers hold in all
     * @param free what is free
     * @param queued how many requests and tasks wait
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
