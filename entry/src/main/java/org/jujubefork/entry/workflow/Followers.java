package org.jujubefork.entry.workflow;

import java.util.Map;
import java.util.Optional;
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
     * Adds the follower {@code entry}, which is connected through {@code link}.
     *
     * @return whether it is new, or has changed or connected anew
     */
    boolean add(String entry, Link link, int processorMillicores) {
        Follower follower = new Follower(link, processorMillicores);
        boolean isChanged = !follower.equals(connected.put(entry, follower));
        if (isChanged) {
            postIfLeading();
        }
        return isChanged;
    }

    /** Removes the follower {@code entry} if its connection is closed. */
    void removeIfClosed(String entry) {
        connected.computeIfPresent(entry, (n, f) -> f.link().isOpen() ? f : null);
        postIfLeading();
    }

    /** Returns the connection to {@code entry}, if it is connected. */
    Optional<Link> link(String entry) {
        return Optional.ofNullable(connected.get(entry)).map(Follower::link);
    }

    /** Passes the name and the connection of each follower to {@code action}. */
    void forEach(BiConsumer<String, Link> action) {
        connected.forEach((name, follower) -> action.accept(name, follower.link()));
    }

    private void postIfLeading() {
        if (isLeading.getAsBoolean()) {
            post();
        }
    }

    /**
     * Posts the connected followers from another thread. For the control thread, which must not
     * wait for room in its own queue.
     */
    void postAsync() {
        Thread.ofVirtual().name("peer-followers").start(this::post);
    }

    private void post() {
        postOrder.lock();
        try {
            events.accept(new WorkflowEvent.FollowersChanged(clock.millis(), capacities()));
        } finally {
            postOrder.unlock();
        }
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
