package org.jujubefork.core.control;

import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.DrainRequested;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.jobs.Jobs;
import org.jujubefork.core.limits.LedgerSync;
import org.jujubefork.core.limits.ShardBudgets;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.ownership.Ownership;
import org.jujubefork.core.ownership.UnreachableOwners;
import org.jujubefork.core.placement.Admission;
import org.jujubefork.core.placement.FleetTotals;
import org.jujubefork.core.placement.Reclaim;
import org.jujubefork.core.placement.Scheduler;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.Tasks;
import org.jujubefork.core.placement.Workers;
import org.jujubefork.core.requests.RequestClaims;
import org.jujubefork.core.requests.Requests;

/**
 * Applies events to the control state; no other code changes it.
 *
 * <p>The reducer is a pure function: the same state and event always give the same transition, so
 * that replaying a recorded event log yields the same effects.
 */
public final class Reducer {
    private Reducer() {}

    /** Returns the state after {@code event} and the effects to carry out. */
    public static Transition reduce(State state, Event event) {
        State current =
                Pause.discardStaleEvidence(state, event.atMillis()).advancedTo(event.atMillis());
        Transition reduced = dispatch(current, event);
        boolean retryAll = event instanceof Tick || event instanceof LimitEvent;
        return scheduleQueued(refreshRemoteTotals(state, reduced, event), retryAll);
    }

    /** Recomputes the totals over the shards of other entries if the event may change them. */
    private static Transition refreshRemoteTotals(State before, Transition reduced, Event event) {
        State after = reduced.state();
        boolean mayHaveChanged =
                event instanceof Tick
                        || event instanceof MembershipEvent.GossipReceived
                        || before.shards().size() != after.shards().size();
        return mayHaveChanged
                ? reduced.withState(after.withRemoteTotals(FleetTotals.of(after)))
                : reduced;
    }

    private static Transition dispatch(State state, Event event) {
        return switch (event) {
            case Tick e -> tick(state, e);
            case MembershipEvent e -> Membership.reduce(state, e);
            case StoreEvent e -> Membership.reduce(state, e);
            case ConfigurationLoaded e -> Membership.reduce(state, e);
            case FleetEvent e -> Workers.reduce(state, e);
            case TaskEvent e -> Tasks.reduce(state, e);
            case RequestEvent e -> Requests.reduce(state, e);
            case ClaimEvent e -> RequestClaims.reduce(state, e);
            case JobEvent e -> Jobs.reduce(state, e);
            case LimitEvent e -> LedgerSync.reduce(state, e);
            case DrainRequested e -> Transition.of(state.withDraining());
        };
    }

    private static Transition tick(State state, Tick tick) {
        Transition result =
                Transition.of(state)
                        .then(s -> Transition.of(UnreachableOwners.recordIfPossible(s)))
                        .then(Ownership::tick)
                        .then(Workers::tick)
                        .then(Jobs::tick)
                        .then(Requests::tick);
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> tickShard(s, shard));
        }
        return result.then(ShardBudgets::tick)
                .then(s -> LedgerSync.tick(s, tick))
                .then(s -> Membership.tick(s, tick));
    }

    private static Transition tickShard(State state, ShardId shard) {
        return state.shards().containsKey(shard)
                ? Admission.expire(state, shard)
                        .then(s -> Admission.returnOverBudget(s, shard))
                        .then(s -> Scheduler.tick(s, shard))
                        .then(s -> Reclaim.tick(s, shard))
                : Transition.of(state);
    }

    /**
     * Runs the scheduler for each shard with queued work if an event since the last run may allow
     * this work to be placed, or in any case if {@code retryAll} is true.
     */
    private static Transition scheduleQueued(Transition reduced, boolean retryAll) {
        Transition result = reduced;
        for (ShardState shard : reduced.state().shards().values()) {
            boolean hasChanged =
                    shard.schedulerState().recheckAll() || !shard.queue().untriedLanes().isEmpty();
            if (shard.queue().size() > 0 && (retryAll || hasChanged)) {
                result = result.then(s -> Scheduler.run(s, shard.id(), retryAll));
            }
        }
        return result;
    }
}
