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

/**
 * The complete control state of an entry.
 *
 * @param self identity of this entry
 * @param timing intervals and timeouts
 * @param nowMillis time of the latest event, in milliseconds of this entry's monotonic clock
 * @param configuration the configuration in force; empty until a configuration is known
 * @param cell what is known about the rest of the cell
 * @param localWork shards, requests and jobs that this entry handles
 * @param draining whether this entry is draining, that is, handing over its shards before it stops
 */
public record State(
        EntryIdentity self,
        Timing timing,
        long nowMillis,
        Optional<Configuration> configuration,
        CellView cell,
        LocalWork localWork,
        boolean draining) {
    /** Returns the state of an entry that has just started. */
    public static State initial(EntryIdentity self, Timing timing, long nowMillis) {
        return new State(
                self,
                timing,
                nowMillis,
                Optional.empty(),
                CellView.initial(nowMillis),
                LocalWork.EMPTY,
                false);
    }

    /** Returns the state of the other entries and of the contact with the store. */
    public MembershipState membership() {
        return cell.membership();
    }

    /** Returns the workers on the VM list. */
    public FleetState fleet() {
        return cell.fleet();
    }

    /** Returns the known owners of shards. */
    public OwnershipState ownership() {
        return cell.ownership();
    }

    /** Returns capacity and usage, summed over the shards that other entries own. */
    public FleetTotals remoteTotals() {
        return cell.remoteTotals();
    }

    /** Returns the shards that this entry owns. */
    public PSortedMap<ShardId, ShardState> shards() {
        return localWork.shards();
    }

    /** Returns running requests that this entry started in shards that it no longer owns. */
    public PSortedMap<TaskId, RunningTask> detachedTasks() {
        return localWork.detachedTasks();
    }

    /** Returns the budget ledger and the budgets of owned shards. */
    public LimitState limits() {
        return localWork.limits();
    }

    /** Returns the requests that callers sent to this entry. */
    public RequestTable requests() {
        return localWork.requests();
    }

    /** Returns the jobs of the cell. */
    public JobTable jobs() {
        return localWork.jobs();
    }

    /** Returns this state with its time advanced to {@code millis}; the time never goes back. */
    public State advancedTo(long millis) {
        return millis <= nowMillis
                ? this
                : new State(self, timing, millis, configuration, cell, localWork, draining);
    }

    /** Returns this state with {@code value} as the configuration in force. */
    public State withConfiguration(Configuration value) {
        return new State(self, timing, nowMillis, Optional.of(value), cell, localWork, draining);
    }

    /** Returns this state with the membership replaced. */
    public State withMembership(MembershipState value) {
        return withCell(new CellView(value, fleet(), ownership(), remoteTotals()));
    }

    /** Returns this state with the fleet replaced. */
    public State withFleet(FleetState value) {
        return withCell(new CellView(membership(), value, ownership(), remoteTotals()));
    }

    /** Returns this state with the known owners of shards replaced. */
    public State withOwnership(OwnershipState value) {
        return withCell(new CellView(membership(), fleet(), value, remoteTotals()));
    }

    /** Returns this state with the totals over the shards of other entries replaced. */
    public State withRemoteTotals(FleetTotals value) {
        return withCell(new CellView(membership(), fleet(), ownership(), value));
    }

    /** Returns this state with {@code shard} added or replaced. */
    public State withShard(ShardState shard) {
        return withShards(shards().plus(shard.id(), shard));
    }

    /** Returns this state with all owned shards replaced. */
    public State withShards(PSortedMap<ShardId, ShardState> value) {
        return withLocalWork(new LocalWork(value, detachedTasks(), limits(), requests(), jobs()));
    }

    /** Returns this state with the detached tasks replaced. */
    public State withDetachedTasks(PSortedMap<TaskId, RunningTask> value) {
        return withLocalWork(new LocalWork(shards(), value, limits(), requests(), jobs()));
    }

    /** Returns this state with the budgets replaced. */
    public State withLimits(LimitState value) {
        return withLocalWork(new LocalWork(shards(), detachedTasks(), value, requests(), jobs()));
    }

    /** Returns this state with the requests replaced. */
    public State withRequests(RequestTable value) {
        return withLocalWork(new LocalWork(shards(), detachedTasks(), limits(), value, jobs()));
    }

    /** Returns this state with the jobs replaced. */
    public State withJobs(JobTable value) {
        return withLocalWork(new LocalWork(shards(), detachedTasks(), limits(), requests(), value));
    }

    /** Returns this state with this entry marked as draining. */
    public State withDraining() {
        return new State(self, timing, nowMillis, configuration, cell, localWork, true);
    }

    private State withCell(CellView value) {
        return new State(self, timing, nowMillis, configuration, value, localWork, draining);
    }

    private State withLocalWork(LocalWork value) {
        return new State(self, timing, nowMillis, configuration, cell, value, draining);
    }
}
