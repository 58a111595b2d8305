package org.jujubefork.client.worker;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.client.http.Address;
import org.jujubefork.core.model.Epoch;

/** The last view of each worker under lease. Safe for use by many threads. */
final class WorkerViews {
    /** A view and the monotonic time at which the worker's lease lapses unless it is renewed. */
    private record Kept(WorkerView view, long untilNanos) {}

    private final Map<Address, Kept> kept = new ConcurrentHashMap<>();
    private final AtomicLong removeAtNanos = new AtomicLong(System.nanoTime());

    /** Returns the last view of {@code worker} if it was taken under {@code epoch}. */
    Optional<WorkerView> of(Address worker, Epoch epoch) {
        return Optional.ofNullable(kept.get(worker))
                .map(Kept::view)
                .filter(v -> v.epoch().equals(epoch));
    }

    /** Keeps {@code view} until the lease is over, unless a newer one is kept. */
    void keep(Address worker, WorkerView view, Duration ttl) {
        long now = System.nanoTime();
        Kept next = new Kept(view, now + ttl.toNanos());
        kept.merge(worker, next, (old, n) -> old.view().isNewerThan(view) ? old : n);
        long due = removeAtNanos.get();
        // Views of workers that another entry owns now would otherwise stay in memory.
        if (now - due >= 0 && removeAtNanos.compareAndSet(due, now + ttl.toNanos())) {
            kept.values().removeIf(k -> now - k.untilNanos() >= 0);
        }
    }

    /** Forgets the view of {@code worker}, so that the next renewal asks for a full answer. */
    void drop(Address worker) {
        kept.remove(worker);
    }
}
