package org.jujubefork.core.control;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.jobs.JobTable;
import org.jujubefork.core.limits.LimitState;
import org.jujubefork.core.membership.MembershipState;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.ownership.FleetState;
import org.jujubefork.core.ownership.OwnershipState;
import org.jujubefork.core.placement.FleetTotals;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.requests.RequestTable;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The whole control state of an entry.
 *
 * @param self this entry
 * @param timing intervals and time limits
 * @param nowMillis the time of the newest event
 * @param configuration the configuration in force, once one is known
 * @param membership other entries, and store contact
 * @param fleet workers on the VM list
 * @param ownership what is known about the owners of shards
 * @param shards the shards that this entry owns
 * @param detached requests that were started in shards that this entry no longer owns
 * @param limits budgets
 * @param requests requests that callers sent to this entry
 * @param jobs jobs of the cell
 * @param draining whether this entry is stopping
 * @param totals sums over the shards of other entries
 */
public record State(
        EntryIdentity self,
        Timing timing,
        long nowMillis,
        Optional<Configuration> configuration,
        MembershipState membership,
        FleetState fleet,
        OwnershipState ownership,
        PSortedMap<ShardId, ShardState> shards,
        PSortedMap<TaskId, RunningTask> detached,
        LimitState limits,
        RequestTable requests,
        JobTable jobs,
        boolean draining,
        FleetTotals totals) {
    /** Returns the state of an entry that has just started. */
    public static State initial(EntryIdentity self, Timing timing, long nowMillis) {
        return new State(
                self,
                timing,
                nowMillis,
                Optional.empty(),
                MembershipState.initial(nowMillis),
                FleetState.EMPTY,
                OwnershipState.EMPTY,
                TreePMap.empty(),
                TreePMap.empty(),
                LimitState.EMPTY,
                RequestTable.EMPTY,
                JobTable.EMPTY,
                false,
                FleetTotals.NONE);
    }

    /** Returns this state at {@code millis}, or as it is if that lies before its time. */
    public State at(long millis) {
        return millis <= nowMillis
                ? this
                : new State(
                        self,
                        timing,
                        millis,
                        configuration,
                        membership,
                        fleet,
                        ownership,
                        shards,
                        detached,
                        limits,
                        requests,
                        jobs,
                        draining,
                        totals);
    }

    /** Returns this state with {@code value} in force. */
    public State withConfiguration(Configuration value) {
        return new State(
                self,
                timing,
                nowMillis,
                Optional.of(value),
                membership,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other membership. */
    public State withMembership(MembershipState value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                value,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with another fleet. */
    public State withFleet(FleetState value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                value,
                ownership,
                shards,
                detached,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other knowledge of owners. */
    public State withOwnership(OwnershipState value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                value,
                shards,
                detached,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with {@code shard} added or replaced. */
    public State withShard(ShardState shard) {
        return withShards(shards.plus(shard.id(), shard));
    }

    /** Returns this state with other owned shards. */
    public State withShards(PSortedMap<ShardId, ShardState> value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                value,
                detached,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other detached tasks. */
    public State withDetached(PSortedMap<TaskId, RunningTask> value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                value,
                limits,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other budgets. */
    public State withLimits(LimitState value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                detached,
                value,
                requests,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other requests. */
    public State withRequests(RequestTable value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                value,
                jobs,
                draining,
                totals);
    }

    /** Returns this state with other jobs. */
    public State withJobs(JobTable value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                requests,
                value,
                draining,
                totals);
    }

    /** Returns this state marked as stopping. */
    public State withDraining() {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                requests,
                jobs,
                true,
                totals);
    }

    /** Returns this state with other sums over the shards of other entries. */
    public State withTotals(FleetTotals value) {
        return new State(
                self,
                timing,
                nowMillis,
                configuration,
                membership,
                fleet,
                ownership,
                shards,
                detached,
                limits,
                requests,
                jobs,
                draining,
                value);
    }
}
