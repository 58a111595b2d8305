package org.jujubefork.entry.workflow;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.entry.control.Clock;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The connected followers of this entry. While this entry leads, each change is posted to the
 * control thread.
 */
final class Followers {
    /** A connected follower. */
    private record Follower(Link link, int processorMillicores) {}

    private final BooleanSupplier isLeading;
    private final Clock clock;
    private final Consumer<WorkflowEvent> events;
    private final ConcurrentMap<String, Follower> connected = new ConcurrentHashMap<>();

    /**
     * Held while the followers are read and posted. Otherwise an older set could arrive after a
     * newer one, and the leader would keep it until the next change.
     */
    private final ReentrantLock postOrder = new ReentrantLock();

    /**
     * Creates an instance without followers.
     *
     * @param isLeading returns whether this entry leads
     * @param clock the clock of the events
     * @param events receives the changes; may block
     */
    Followers(BooleanSupplier isLeading, Clock clock, Consumer<WorkflowEvent> events) {
        this.isLeading = isLeading;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Adds the follower {@code entry}, which is connected through {@code link}. A follower that
     * connects anew is posted as having left first, because what was sent over its earlier
     * connection gets no answer.
     *
     * @return whether it is new, or has changed or connected anew
     */
    boolean add(String entry, Link link, int processorMillicores) {
        Follower follower = new Follower(link, processorMillicores);
        Follower previous = connected.put(entry, follower);
        if (follower.equals(previous)) {
            return false;
        }
        boolean isReconnected = previous != null && previous.link() != link;
        postIfLeading(isReconnected ? Set.of(entry) : Set.of());
        return true;
    }

    /** Removes the follower {@code entry} if its connection is closed. */
    void removeIfClosed(String entry) {
        connected.computeIfPresent(entry, (n, f) -> f.link().isOpen() ? f : null);
        postIfLeading(Set.of());
    }

    /** Returns the connection to {@code entry}, if it is connected. */
    Optional<Link> link(String entry) {
        return Optional.ofNullable(connected.get(entry)).map(Follower::link);
    }

    /** Passes the name and the connection of each follower to {@code action}. */
    void forEach(BiConsumer<String, Link> action) {
        connected.forEach((name, follower) -> action.accept(name, follower.link()));
    }

    private void postIfLeading(Set<String> reconnected) {
        if (isLeading.getAsBoolean()) {
            post(reconnected);
        }
    }

    /**
     * Posts the connected followers from another thread. For the control thread, which must not
     * wait for room in its own queue.
     */
    void postAsync() {
        Thread.ofVirtual().name("peer-followers").start(() -> post(Set.of()));
    }

    /**
     * Posts the connected followers; if {@code reconnected} has elements, first without them.
     * Blocks while the queue of the control thread is full.
     */
    private void post(Set<String> reconnected) {
        postOrder.lock();
        try {
            PMap<String, Integer> capacities = capacities();
            if (!reconnected.isEmpty()) {
                post(capacities.minusAll(reconnected));
            }
            post(capacities);
        } finally {
            postOrder.unlock();
        }
    }

    private void post(PMap<String, Integer> capacities) {
        events.accept(new WorkflowEvent.FollowersChanged(clock.millis(), capacities));
    }

    private PMap<String, Integer> capacities() {
        PMap<String, Integer> capacities = HashTreePMap.empty();
        for (Map.Entry<String, Follower> follower : connected.entrySet()) {
            capacities =
                    capacities.plus(follower.getKey(), follower.getValue().processorMillicores());
        }
        return capacities;
    }
}
