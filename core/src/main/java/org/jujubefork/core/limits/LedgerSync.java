package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.ownership.Ownership;
import org.jujubefork.core.ownership.OwnershipState;
import org.jujubefork.core.placement.FleetUsage;
import org.jujubefork.core.placement.ShardState;

/** Reads and writes the ledger. */
public final class LedgerSync {
    /** Least time between two writes of an entry. */
    static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;

    /** Random time that is added, so that entries do not write in step. */
    static final long WRITE_JITTER_MILLIS = 250;

    /** Bound of the exponential back-off after failed writes. */
    static final long MAX_BACKOFF_MILLIS = 8_000;

    /** Age at which a write without an answer counts as lost. */
    static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** Stands for a write whose time is drawn at the next tick. */
    private static final long UNSCHEDULED = Long.MAX_VALUE;

    private LedgerSync() {}

    /** Reduces news of the ledger. */
    public static Transition reduce(State state, LimitEvent event) {
        return switch (event) {
            case LimitEvent.LedgerLoaded e -> handleLoaded(state, e);
            case LimitEvent.LedgerWriteFailed e -> handleWriteFailed(state);
        };
    }

    /** Writes the ledger if a change is due. */
    public static Transition tick(State state, Tick tick) {
        Resources fleetCapacity = state.fleet().capacity().max(FleetUsage.capacity(state));
        LimitState limits =
                state.limits()
                        .afterTick(state.nowMillis(), OrphanedRows.update(state), fleetCapacity);
        if (!ConfigurationFreshness.isStoreContactFresh(state)) {
            // Entries that wait for the store draw the time of their next write when it is back.
            return Transition.of(
                    state.withLimits(
                            limits.withNextWrite(UNSCHEDULED, limits.consecutiveFailures())));
        }
        if (limits.nextWriteAtMillis() == UNSCHEDULED) {
            long nextAtMillis =
                    state.nowMillis()
                            + randomBackoffMillis(limits.consecutiveFailures(), tick.random());
            return Transition.of(
                    state.withLimits(
                            limits.withNextWrite(nextAtMillis, limits.consecutiveFailures())));
        }
        State ticked = state.withLimits(limits);
        boolean inFlight = limits.pending().map(p -> isInFlight(state, p)).orElse(false);
        if (state.nowMillis() < limits.nextWriteAtMillis() || inFlight) {
            return Transition.of(ticked);
        }
        Ledger planned = LedgerPlanner.plan(ticked);
        return planned.equals(limits.ledger())
                ? Transition.of(ticked)
                : write(ticked, planned, tick.random());
    }

    private static boolean isInFlight(State state, PendingWrite pending) {
        return !pending.completed()
                && state.nowMillis() - pending.sentAtMillis() < ANSWER_TIMEOUT_MILLIS;
    }

    private static long randomBackoffMillis(int failures, long random) {
        long maxMillis =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        MIN_WRITE_INTERVAL_MILLIS << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
        return maxMillis / 2 + Long.remainderUnsigned(random, maxMillis);
    }

    private static Transition write(State state, Ledger planned, long random) {
        LimitState limits = state.limits();
        long nowMillis = state.nowMillis();
        PendingWrite pending =
                limits.pending()
                        .map(p -> p.withRetry(planned, nowMillis))
                        .orElse(PendingWrite.of(limits.revision(), planned, nowMillis));
        long nextAtMillis =
                nowMillis
                        + MIN_WRITE_INTERVAL_MILLIS
                        + Long.remainderUnsigned(random, WRITE_JITTER_MILLIS);
        LimitState writing =
                limits.withPending(Optional.of(pending))
                        .withNextWrite(nextAtMillis, limits.consecutiveFailures());
        return Transition.of(state.withLimits(writing))
                .with(new StoreEffect.WriteLedger(limits.revision(), pending.newest()))
                .with(
                        new LogDecision(
                                DecisionKind.BUDGET,
                                "ledger",
                                Optional.empty(),
                                "revision-" + limits.revision(),
                                "budgets moved",
                                0,
                                0));
    }

    private static Transition handleWriteFailed(State state) {
        LimitState limits = state.limits();
        LimitState failed =
                limits.withPending(limits.pending().map(PendingWrite::withFailure))
                        .withNextWrite(UNSCHEDULED, limits.consecutiveFailures() + 1);
        return Transition.of(state.withLimits(failed)).with(new StoreEffect.ReadLedger());
    }

    private static Transition handleLoaded(State state, LimitEvent.LedgerLoaded event) {
        LimitState limits = state.limits();
        if (event.revision() < limits.revision()) {
            return Transition.of(state);
        }
        boolean isOwnWrite =
                limits.pending().map(p -> p.ledgers().contains(event.ledger())).orElse(false);
        LimitState loaded = limits.withLedger(event.revision(), event.ledger());
        LimitState updated =
                isOwnWrite ? loaded.withNextWrite(loaded.nextWriteAtMillis(), 0) : loaded;
        State recorded = recordEpochs(state.withLimits(updated), event.ledger());
        Transition result = Transition.of(recorded);
        for (ShardState shard : recorded.shards().values()) {
            Optional<Epoch> epoch = event.ledger().highestEpoch(shard.id());
            if (epoch.isPresent() && epoch.get().isAbove(shard.epoch())) {
                result = result.then(s -> Ownership.handleHigherEpoch(s, shard.id(), epoch.get()));
            }
        }
        return result;
    }

    private static State recordEpochs(State state, Ledger ledger) {
        OwnershipState ownership = state.ownership();
        for (ShardId shard : state.fleet().byShard().keySet()) {
            Optional<Epoch> epoch = ledger.highestEpoch(shard);
            if (epoch.isPresent()) {
                ownership =
                        ownership.withShard(
                                shard,
                                ownership.shard(shard).withEpochNumber(epoch.get().number()));
            }
        }
        return state.withOwnership(ownership);
    }
}
