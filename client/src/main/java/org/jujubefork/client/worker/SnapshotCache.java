package org.jujubefork.client.worker;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.client.http.Address;
import org.jujubefork.core.model.Epoch;

/** Caches the last snapshot of each worker under lease. Safe for use by many threads. */
final class SnapshotCache {
    /**
     * A snapshot and the monotonic time at which the worker's lease expires unless it is renewed.
     */
    private record CachedSnapshot(WorkerSnapshot snapshot, long expiresAtNanos) {}

    private final Map<Address, CachedSnapshot> snapshots = new ConcurrentHashMap<>();
    private final AtomicLong removeAtNanos = new AtomicLong(System.nanoTime());

    /** Returns the cached snapshot of {@code worker} if it belongs to {@code epoch}. */
    Optional<WorkerSnapshot> get(Address worker, Epoch epoch) {
        return Optional.ofNullable(snapshots.get(worker))
                .map(CachedSnapshot::snapshot)
                .filter(v -> v.epoch().equals(epoch));
    }

    /** Caches {@code snapshot} until the lease expires, unless a newer one is cached. */
    void put(Address worker, WorkerSnapshot snapshot, Duration ttl) {
        long now = System.nanoTime();
        CachedSnapshot entry = new CachedSnapshot(snapshot, now + ttl.toNanos());
        snapshots.merge(
                worker,
                entry,
                (cached, added) -> cached.snapshot().isNewerThan(snapshot) ? cached : added);
        long due = removeAtNanos.get();
        // Evicts expired snapshots; those of workers that another entry now owns would otherwise
        // stay in memory.
        if (now - due >= 0 && removeAtNanos.compareAndSet(due, now + ttl.toNanos())) {
            snapshots.values().removeIf(s -> now - s.expiresAtNanos() >= 0);
        }
    }

    /** Removes the snapshot of {@code worker}, so that the next renewal requests the full list. */
    void drop(Address worker) {
        snapshots.remove(worker);
    }
}
