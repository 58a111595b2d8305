package org.jujubefork.standins.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** The store's behaviour as a pure function of its state, a command and the time. */
final class StoreTransitions {
    private final int maxHistory;
    private final long maxHistoryBytes;

    /** Limits the history to a number of changes and to a sum of value sizes. */
    StoreTransitions(int maxHistory, long maxHistoryBytes) {
        this.maxHistory = maxHistory;
        this.maxHistoryBytes = maxHistoryBytes;
    }

    /** Result of a command; {@code changes} lists what it and expired leases changed. */
    record Step(StoreState state, StoreOutcome outcome, List<StoredChange> changes) {}

    /** Removes expired leases and then executes the command. */
    Step apply(StoreState before, StoreCommand command, long nowNanos) {
        List<StoredChange> changes = new ArrayList<>();
        StoreState state = expire(before, nowNanos, changes);
        return switch (command) {
            case StoreCommand.Put put -> put(state, put, changes);
            case StoreCommand.Delete delete -> delete(state, delete, changes);
            case StoreCommand.Grant grant -> {
                String id = "lease-" + state.nextLease();
                StoredLease lease = new StoredLease(grant.ttlNanos(), nowNanos + grant.ttlNanos());
                StoreState next =
                        withLeases(state, state.leases().plus(id, lease), state.nextLease() + 1);
                yield new Step(next, new StoreOutcome.Leased(id, grant.ttlNanos()), changes);
            }
            case StoreCommand.KeepAlive keep -> keepAlive(state, keep, nowNanos, changes);
            case StoreCommand.Expire e -> new Step(state, new StoreOutcome.None(), changes);
        };
    }

    /** Returns when the next lease expires, if there is one. */
    static OptionalLong nextExpiry(StoreState state) {
        return state.leases().values().stream().mapToLong(StoredLease::expiresNanos).min();
    }

    private Step put(StoreState state, StoreCommand.Put put, List<StoredChange> changes) {
        long current = state.revisionOf(put.key());
        if (put.ifRevision().isPresent() && put.ifRevision().getAsLong() != current) {
            return new Step(state, new StoreOutcome.Conflict(current), changes);
        }
        if (!put.lease().isEmpty() && !state.leases().containsKey(put.lease())) {
            return new Step(state, new StoreOutcome.NoSuchLease(), changes);
        }
        StoreState next = change(state, put.key(), Optional.of(put.value()), put.lease(), changes);
        return new Step(next, new StoreOutcome.Written(next.revision()), changes);
    }

    private Step delete(StoreState state, StoreCommand.Delete delete, List<StoredChange> changes) {
        long current = state.revisionOf(delete.key());
        if (delete.ifRevision().isPresent() && delete.ifRevision().getAsLong() != current) {
            return new Step(state, new StoreOutcome.Conflict(current), changes);
        }
        if (current == 0) {
            return new Step(state, new StoreOutcome.NoSuchKey(), changes);
        }
        StoreState next = change(state, delete.key(), Optional.empty(), "", changes);
        return new Step(next, new StoreOutcome.Written(next.revision()), changes);
    }

    private static Step keepAlive(
            StoreState state,
            StoreCommand.KeepAlive keep,
            long nowNanos,
            List<StoredChange> changes) {
        StoredLease lease = state.leases().get(keep.lease());
        if (lease == null) {
            return new Step(state, new StoreOutcome.NoSuchLease(), changes);
        }
        StoredLease renewed = new StoredLease(lease.ttlNanos(), nowNanos + lease.ttlNanos());
        return new Step(
                withLeases(state, state.leases().plus(keep.lease(), renewed), state.nextLease()),
                new StoreOutcome.Leased(keep.lease(), lease.ttlNanos()),
                changes);
    }

    private StoreState expire(StoreState before, long nowNanos, List<StoredChange> changes) {
        StoreState state = before;
        for (Map.Entry<String, StoredLease> lease : before.leases().entrySet()) {
            if (lease.getValue().expiresNanos() - nowNanos > 0) {
                continue;
            }
            state = withLeases(state, state.leases().minus(lease.getKey()), state.nextLease());
            for (Map.Entry<String, StoredValue> entry : before.values().entrySet()) {
                if (entry.getValue().lease().equals(lease.getKey())) {
                    state = change(state, entry.getKey(), Optional.empty(), "", changes);
                }
            }
        }
        return state;
    }

    private StoreState change(
            StoreState state,
            String key,
            Optional<byte[]> value,
            String lease,
            List<StoredChange> changes) {
        long revision = state.revision() + 1;
        StoredChange change = new StoredChange(key, revision, value);
        changes.add(change);
        TreePVector<StoredChange> history = state.history().plus(change);
        long bytes = state.historyBytes() + change.bytes();
        while (history.size() > maxHistory || bytes > maxHistoryBytes) {
            bytes -= history.get(0).bytes();
            history = history.minus(0);
        }
        return new StoreState(
                revision,
                value.isPresent()
                        ? state.values().plus(key, new StoredValue(value.get(), revision, lease))
                        : state.values().minus(key),
                history,
                bytes,
                state.leases(),
                state.nextLease());
    }

    private static StoreState withLeases(
            StoreState state, PMap<String, StoredLease> leases, long nextLease) {
        return new StoreState(
                state.revision(),
                state.values(),
                state.history(),
                state.historyBytes(),
                leases,
                nextLease);
    }
}
