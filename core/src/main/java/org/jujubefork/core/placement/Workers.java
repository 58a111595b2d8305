package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.ownership.FleetState;
import org.jujubefork.core.ownership.Ownership;
import org.jujubefork.core.ownership.UnreachableOwners;
import org.pcollections.PSortedMap;

/** Acquires and renews the leases of the workers of owned shards. */
public final class Workers {
    /** Time between two lease requests to a worker that does not answer. */
    static final long RETRY_INTERVAL_MILLIS = 1_000;

    /** Minimum time between two lease renewals of a worker with tasks that end by themselves. */
    static final long MIN_RENEW_INTERVAL_MILLIS = 500;

    private Workers() {}

    /** Applies an event about the VM list or a worker lease. */
    public static Transition reduce(State state, FleetEvent event) {
        return switch (event) {
            case FleetEvent.WorkersListed e -> onWorkersListed(state, e);
            case FleetEvent.LeaseGranted e -> onLeaseGranted(state, e);
            case FleetEvent.LeaseRefused e -> onLeaseRefused(state, e);
            case FleetEvent.LeaseFailed e -> onLeaseFailed(state, e);
        };
    }

    /**
     * Renews leases, repeats lease requests that were not granted, and marks the tasks of workers
     * with expired leases as lost.
     */
    public static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (ShardState shard : state.shards().values()) {
            for (WorkerState worker : shard.workers().values()) {
                if (worker.health().isPhaseChangeDue(state.nowMillis())) {
                    result =
                            result.then(
                                    s -> Transition.of(advanceHealth(s, shard.id(), worker.id())));
                }
                if (isLeaseRequestDue(state, worker)) {
                    result = result.then(s -> requestLease(s, shard.id(), worker.id()));
                }
                if (isLeaseExpired(state, worker)
                        && UnreachableOwners.areRuledOut(state)
                        && !worker.tasks().isEmpty()) {
                    result =
                            result.then(
                                            s ->
                                                    ReportReconciler.loseAllTasks(
                                                            s, shard.id(), worker.id()))
                                    .then(
                                            s ->
                                                    Transition.of(
                                                            markUnacquired(
                                                                    s, shard.id(), worker.id())));
                }
            }
        }
        return result;
    }

    /**
     * Returns {@code state} with the worker marked as not acquired. Until it is acquired again, its
     * whole capacity is charged against upper limits: another entry may have taken over the shard
     * unnoticed and renewed the lease, so the tasks may still be running.
     */
    private static State markUnacquired(State state, ShardId shard, WorkerId worker) {
        ShardState owned = state.shards().get(shard);
        return owned == null || !owned.workers().containsKey(worker)
                ? state
                : state.withShard(
                        owned.withWorker(owned.workers().get(worker).with(WorkerPhase.ACQUIRING)));
    }

    /** Requests the lease of a worker that is not yet part of the shard. */
    public static Transition acquire(State state, ShardId shard, WorkerListing listing) {
        WorkerState worker = WorkerState.acquiring(listing, state.nowMillis());
        return requestLease(
                state.withShard(state.shards().get(shard).withWorker(worker)), shard, worker.id());
    }

    /** Requests renewals of the leases of all acquired workers of {@code shard} immediately. */
    public static Transition renewAll(State state, ShardId shard) {
        Transition result = Transition.of(state);
        for (WorkerState worker : state.shards().get(shard).workers().values()) {
            result = result.then(s -> renew(s, shard, worker.id()));
        }
        return result;
    }

    /**
     * Requests a renewal of the lease of {@code worker} immediately, to obtain its report; does
     * nothing while the lease is being acquired.
     */
    public static Transition renew(State state, ShardId shard, WorkerId worker) {
        return state.shards().get(shard).workers().get(worker).phase() == WorkerPhase.ACQUIRING
                ? Transition.of(state)
                : requestLease(state, shard, worker);
    }

    /** Returns the owned shard to which {@code worker} belongs. */
    public static Optional<ShardState> shardOf(State state, WorkerId worker) {
        return state.shards().values().stream()
                .filter(s -> s.workers().containsKey(worker))
                .findFirst();
    }

    /**
     * Stops placing work on {@code worker} until it grants a lease renewal, which is requested
     * immediately.
     */
    public static Transition suspend(State state, ShardId shard, WorkerId worker, String reason) {
        ShardState owned = state.shards().get(shard);
        WorkerState current = owned.workers().get(worker);
        if (current.phase() != WorkerPhase.ACTIVE) {
            return Transition.of(state);
        }
        State suspended = state.withShard(owned.withWorker(current.with(WorkerPhase.UNREACHABLE)));
        return Transition.of(suspended)
                .with(decision(DecisionKind.WORKER_INACTIVE, worker, shard, reason))
                .then(s -> requestLease(s, shard, worker));
    }

    /**
     * Schedules the acknowledgement of the completed {@code task} for the next lease renewal of
     * {@code worker}.
     */
    public static State acknowledge(State state, WorkerId worker, TaskId task) {
        return shardOf(state, worker)
                .map(
                        s ->
                                state.withShard(
                                        s.withWorker(
                                                s.workers().get(worker).withAcknowledgement(task))))
                .orElse(state);
    }

    private static State advanceHealth(State state, ShardId shard, WorkerId id) {
        ShardState owned = state.shards().get(shard);
        WorkerState worker = owned.workers().get(id);
        WorkerHealth health = worker.health().advancedTo(state.nowMillis());
        return state.withShard(owned.withWorker(worker.with(health)));
    }

    private static boolean isLeaseRequestDue(State state, WorkerState worker) {
        long interval =
                worker.phase() == WorkerPhase.ACTIVE
                        ? renewIntervalMillis(state, worker)
                        : RETRY_INTERVAL_MILLIS;
        return state.nowMillis() - worker.leaseRequestedAtMillis() >= interval;
    }

    /**
     * Returns the time between two lease renewals. Renewals report the completion of tasks, so a
     * worker with tasks that end by themselves is renewed more often: after a quarter of the age of
     * the newest such task. This bounds the time for which freed capacity stays unused, without
     * many renewals for long tasks.
     */
    private static long renewIntervalMillis(State state, WorkerState worker) {
        long maxInterval = state.timing().renewIntervalMillis();
        if (worker.load().finiteTaskCount() == 0) {
            return maxInterval;
        }
        long age = state.nowMillis() - worker.load().newestFinitePlacedAtMillis();
        return Math.clamp(age / 4, Math.min(MIN_RENEW_INTERVAL_MILLIS, maxInterval), maxInterval);
    }

    private static boolean isLeaseExpired(State state, WorkerState worker) {
        return worker.phase() != WorkerPhase.ACTIVE
                && state.nowMillis() - worker.grantedRequestSentAtMillis()
                        >= state.timing().leaseExpiryWithMarginMillis();
    }

    private static Transition requestLease(State state, ShardId shard, WorkerId worker) {
        ShardState owned = state.shards().get(shard);
        WorkerState current = owned.workers().get(worker);
        long ttl = state.timing().leaseTtlMillis();
        String address = current.listing().address();
        WorkerEffect effect =
                current.phase() == WorkerPhase.ACQUIRING
                        ? new WorkerEffect.AcquireLease(worker, address, owned.epoch(), ttl)
                        : new WorkerEffect.RenewLease(
                                worker, address, owned.epoch(), ttl, current.acknowledgements());
        State updated =
                state.withShard(owned.withWorker(current.withLeaseRequested(state.nowMillis())));
        return Transition.of(updated).with(effect);
    }

    private static Transition onWorkersListed(State state, FleetEvent.WorkersListed event) {
        int shardsPerZone = state.configuration().map(c -> c.shardsPerZone()).orElse(1);
        FleetState fleet = state.fleet().withListings(event.workers(), shardsPerZone);
        Transition result = Transition.of(state.withFleet(fleet));
        for (ShardId shard : state.shards().keySet()) {
            result = result.then(s -> syncShard(s, shard));
        }
        return result;
    }

    private static Transition syncShard(State state, ShardId shard) {
        PSortedMap<WorkerId, WorkerListing> listings = state.fleet().byShard().get(shard);
        Transition result = Transition.of(state);
        for (WorkerState worker : state.shards().get(shard).workers().values()) {
            Optional<WorkerListing> current =
                    Optional.ofNullable(listings).map(l -> l.get(worker.id()));
            result = result.then(s -> Transition.of(syncWorker(s, shard, worker.id(), current)));
        }
        if (listings != null) {
            for (WorkerListing listing : listings.values()) {
                if (!state.shards().get(shard).workers().containsKey(listing.id())) {
                    result = result.then(s -> acquire(s, shard, listing));
                }
            }
        }
        return result;
    }

    private static State syncWorker(
            State state, ShardId shard, WorkerId id, Optional<WorkerListing> listing) {
        ShardState owned = state.shards().get(shard);
        WorkerState worker = owned.workers().get(id);
        boolean isRemovable =
                listing.isEmpty() && worker.tasks().isEmpty() && isLeaseExpired(state, worker);
        if (isRemovable) {
            return state.withShard(owned.withoutWorker(id));
        }
        boolean isUnchanged = listing.isPresent() && listing.get().equals(worker.listing());
        return isUnchanged ? state : state.withShard(owned.withWorker(worker.withListing(listing)));
    }

    private static Transition onLeaseGranted(State state, FleetEvent.LeaseGranted event) {
        Optional<ShardState> shard = ownedShardOf(state, event.worker(), event.epoch());
        if (shard.isEmpty()) {
            return Transition.of(state);
        }
        WorkerState before = shard.get().workers().get(event.worker());
        if (event.report().incarnation() < before.incarnation()) {
            // A late answer of an earlier incarnation does not describe the tasks of the current
            // incarnation.
            return Transition.of(state);
        }
        WorkerState after = before.withGrantedLease(event.report(), event.sentAtMillis());
        Transition result = Transition.of(state.withShard(shard.get().withWorker(after)));
        if (before.phase() != WorkerPhase.ACTIVE) {
            result =
                    result.with(
                            decision(
                                    DecisionKind.WORKER_ACTIVE,
                                    event.worker(),
                                    shard.get().id(),
                                    "lease granted"));
        }
        return result.then(s -> ReportReconciler.reconcile(s, shard.get().id(), before, event));
    }

    private static Transition onLeaseRefused(State state, FleetEvent.LeaseRefused event) {
        Optional<ShardState> shard = ownedShardOf(state, event.worker(), event.epoch());
        if (shard.isEmpty()) {
            return Transition.of(state);
        }
        if (event.currentEpoch().isPresent() && event.currentEpoch().get().isAbove(event.epoch())) {
            return Ownership.handleHigherEpoch(state, shard.get().id(), event.currentEpoch().get());
        }
        WorkerState worker = shard.get().workers().get(event.worker());
        State acquiring =
                state.withShard(shard.get().withWorker(worker.with(WorkerPhase.ACQUIRING)));
        return requestLease(acquiring, shard.get().id(), event.worker());
    }

    private static Transition onLeaseFailed(State state, FleetEvent.LeaseFailed event) {
        Optional<ShardState> shard = ownedShardOf(state, event.worker(), event.epoch());
        if (shard.isEmpty()) {
            return Transition.of(state);
        }
        WorkerState worker = shard.get().workers().get(event.worker());
        if (worker.phase() != WorkerPhase.ACTIVE) {
            return Transition.of(state);
        }
        return Transition.of(
                        state.withShard(
                                shard.get().withWorker(worker.with(WorkerPhase.UNREACHABLE))))
                .with(
                        decision(
                                DecisionKind.WORKER_INACTIVE,
                                event.worker(),
                                shard.get().id(),
                                "no answer to a renewal"));
    }

    private static Optional<ShardState> ownedShardOf(State state, WorkerId worker, Epoch epoch) {
        return shardOf(state, worker).filter(s -> s.epoch().equals(epoch));
    }

    private static LogDecision decision(
            DecisionKind kind, WorkerId worker, ShardId shard, String reason) {
        return new LogDecision(kind, worker.value(), Optional.empty(), shard.value(), reason, 0, 0);
    }
}
