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

/** Synchronizes the ledger with the store: handles reads and decides when to write. */
public final class LedgerSync {
    /** Minimum time between two ledger writes of this entry. */
    static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;

    /** Bound of the random delay added to each write, so that entries do not write in lockstep. */
    static final long WRITE_JITTER_MILLIS = 250;

    /** Upper bound of the exponential back-off after failed writes, before jitter. */
    static final long MAX_BACKOFF_MILLIS = 8_000;

    /** How long the answer to a write is awaited before the next write may be sent. */
    static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /**
     * Value of the time of the next write while that time has not been chosen; a later tick chooses
     * it at random.
     */
    private static final long UNSCHEDULED = Long.MAX_VALUE;

    private LedgerSync() {}

    /** Handles the result of a ledger read or write. */
    public static Transition reduce(State state, LimitEvent event) {
        return switch (event) {
            case LimitEvent.LedgerLoaded e -> handleLoaded(state, e);
            case LimitEvent.LedgerWriteFailed e -> handleWriteFailed(state);
        };
    }

    /** Records the tick, and writes the ledger if rows have to change and a write is due. */
    public static Transition tick(State state, Tick tick) {
        Resources fleetCapacity = state.fleet().capacity().max(FleetUsage.capacity(state));
        LimitState limits =
                state.limits()
                        .afterTick(state.nowMillis(), OrphanedRows.update(state), fleetCapacity);
        if (!ConfigurationFreshness.isStoreContactFresh(state)) {
            // Once the store is reachable again, each entry delays its next write at random, so
            // that the entries do not all write at once.
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
        boolean isWriteInFlight =
                limits.pendingWrites().map(p -> isInFlight(state, p)).orElse(false);
        if (state.nowMillis() < limits.nextWriteAtMillis() || isWriteInFlight) {
            return Transition.of(ticked);
        }
        Ledger planned = LedgerPlanner.plan(ticked);
        return planned.equals(limits.ledger())
                ? Transition.of(ticked)
                : write(ticked, planned, tick.random());
    }

    private static boolean isInFlight(State state, PendingWrites pending) {
        return !pending.lastCallCompleted()
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
        PendingWrites pending =
                limits.pendingWrites()
                        .map(p -> p.withRetry(planned, nowMillis))
                        .orElse(PendingWrites.of(limits.revision(), planned, nowMillis));
        long nextAtMillis =
                nowMillis
                        + MIN_WRITE_INTERVAL_MILLIS
                        + Long.remainderUnsigned(random, WRITE_JITTER_MILLIS);
        LimitState updated =
                limits.withPendingWrites(Optional.of(pending))
                        .withNextWrite(nextAtMillis, limits.consecutiveFailures());
        return Transition.of(state.withLimits(updated))
                .with(new StoreEffect.WriteLedger(limits.revision(), pending.newestLedger()))
                .with(
                        new LogDecision(
                                DecisionKind.BUDGET,
                                "ledger",
                                Optional.empty(),
                                "revision-" + limits.revision(),
                                "budget rows changed",
                                0,
                                0));
    }

    private static Transition handleWriteFailed(State state) {
        LimitState limits = state.limits();
        LimitState failed =
                limits.withPendingWrites(limits.pendingWrites().map(PendingWrites::withFailure))
                        .withNextWrite(UNSCHEDULED, limits.consecutiveFailures() + 1);
        return Transition.of(state.withLimits(failed)).with(new StoreEffect.ReadLedger());
    }

    private static Transition handleLoaded(State state, LimitEvent.LedgerLoaded event) {
        LimitState limits = state.limits();
        if (event.revision() < limits.revision()) {
            return Transition.of(state);
        }
        boolean isOwnWrite =
                limits.pendingWrites().map(p -> p.ledgers().contains(event.ledger())).orElse(false);
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
