package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.TreePVector;

/**
 * A simulated cell of entries, workers and a store that exchange messages. Messages can be delayed,
 * lost and reordered, and links can be disconnected. All random choices derive from the seed, so
 * that a run can be reproduced.
 */
public final class Cluster {
    public static final long STEP_MILLIS = 100;
    private static final String STORE = "store";
    private static final long ADDRESS_LEASE_MILLIS = 15_000;

    /** An in-flight message; {@code sequence} orders messages with the same delivery time. */
    private record Message(long atMillis, long sequence, String from, Runnable delivery) {}

    private final SplittableRandom random;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, FakeWorker> workers = new TreeMap<>();
    private final Set<String> unlistedWorkers = new HashSet<>();
    private final Set<String> disconnectedLinks = new HashSet<>();
    private final Map<String, Long> storeContactMillis = new TreeMap<>();
    private final FakeStore store;
    private final EffectExecutor effectExecutor = new EffectExecutor(this);
    private PriorityQueue<Message> messages =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::atMillis)
                            .thenComparingLong(Message::sequence));
    private long nowMillis = 1_000_000;
    private long nextSequence;
    private double messageLossProbability;
    private long maxDelayMillis = 10;

    public Cluster(long seed, Configuration configuration) {
        random = new SplittableRandom(seed);
        store = new FakeStore(configuration);
    }

    public Node addNode(String name, String zone, BiFunction<State, Event, Transition> reducer) {
        Node node = new Node(name, zone, reducer, nowMillis);
        nodes.put(name, node);
        return node;
    }

    public FakeWorker addWorker(String id, String zone) {
        FakeWorker worker = new FakeWorker(Fixtures.listing(id, zone));
        workers.put(id, worker);
        return worker;
    }

    public void removeWorker(String id) {
        workers.remove(id);
    }

    /** Removes a worker from the VM list; the worker itself keeps running. */
    public void removeFromVmList(String id) {
        unlistedWorkers.add(id);
    }

    public FakeStore store() {
        return store;
    }

    public Node node(String name) {
        return nodes.get(name);
    }

    public List<Node> nodes() {
        return new ArrayList<>(nodes.values());
    }

    public Map<String, FakeWorker> workers() {
        return workers;
    }

    public SplittableRandom random() {
        return random;
    }

    public long nowMillis() {
        return nowMillis;
    }

    /** Sets the probability that a message is lost and the exclusive bound of its delay. */
    public void setNetwork(double lossProbability, long delayMillis) {
        messageLossProbability = lossProbability;
        maxDelayMillis = delayMillis;
    }

    /** Disconnects both directions between two entries, or between an entry and a worker. */
    public void disconnect(String a, String b) {
        disconnectedLinks.add(a + "|" + b);
        disconnectedLinks.add(b + "|" + a);
    }

    public void disconnectFromStore(String node) {
        disconnect(node, STORE);
    }

    public void isolate(String node) {
        disconnectFromStore(node);
        nodes.keySet().forEach(other -> disconnect(node, other));
    }

    public void reconnectAll() {
        disconnectedLinks.clear();
    }

    public void kill(String node) {
        nodes.get(node).kill();
    }

    public void restart(String node) {
        nodes.get(node).restart(nowMillis);
    }

    /** Pauses an entry. About half of the in-flight messages from it are delayed by the pause. */
    public void pause(String node, long millis) {
        nodes.get(node).pauseUntil(nowMillis + millis);
        PriorityQueue<Message> rescheduled = new PriorityQueue<>(messages.comparator());
        for (Message message : messages) {
            boolean isDelayed = message.from().equals(node) && random.nextBoolean();
            rescheduled.add(
                    isDelayed
                            ? new Message(
                                    message.atMillis() + millis,
                                    message.sequence(),
                                    node,
                                    message.delivery())
                            : message);
        }
        messages = rescheduled;
    }

    /** Sends a message; returns false if it is lost or the link is disconnected. */
    boolean send(String from, String to, Runnable delivery) {
        if (disconnectedLinks.contains(from + "|" + to)
                || random.nextDouble() < messageLossProbability) {
            return false;
        }
        schedule(1 + random.nextLong(maxDelayMillis), from, delivery);
        return true;
    }

    boolean sendToStore(String from, Runnable delivery) {
        return store.isAvailable() && send(from, STORE, delivery);
    }

    boolean replyFromStore(String to, LongFunction<Event> event) {
        Node node = nodes.get(to);
        long incarnation = node.state().self().id().incarnation();
        return send(STORE, to, () -> deliver(node, incarnation, event));
    }

    void schedule(long millis, String from, Runnable delivery) {
        messages.add(new Message(nowMillis + millis, nextSequence++, from, delivery));
    }

    /** Delivers an event from outside of the cluster, such as a caller's request. */
    public void deliverTo(Node node, LongFunction<Event> event) {
        node.deliver(event);
    }

    /** Delivers the event unless the entry has restarted since {@code incarnation}. */
    void deliver(Node node, long incarnation, LongFunction<Event> event) {
        if (node.state().self().id().incarnation() == incarnation) {
            node.deliver(event);
        }
    }

    public void runFor(long millis) {
        runFor(millis, () -> {});
    }

    /** Runs for at least {@code millis} and calls {@code check} after each step. */
    public void runFor(long millis, Runnable check) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            step();
            check.run();
        }
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        workers.values().forEach(w -> w.advance(nowMillis));
        while (!messages.isEmpty() && messages.peek().atMillis() <= nowMillis) {
            messages.poll().delivery().run();
        }
        for (Node node : nodes.values()) {
            if (!node.isRunning(nowMillis)) {
                continue;
            }
            poll(node);
            for (Transition transition :
                    node.processEvents(nowMillis, at -> new Tick(at, random.nextLong()))) {
                for (Effect effect : transition.effects()) {
                    effectExecutor.execute(node, effect);
                }
            }
        }
    }

    private void poll(Node node) {
        long stepNumber = nowMillis / STEP_MILLIS + node.name().hashCode();
        if (Math.floorMod(stepNumber, 10) == 0) {
            discoverPeers(node);
            List<WorkerListing> listings = new ArrayList<>();
            for (var idAndWorker : workers.entrySet()) {
                if (!unlistedWorkers.contains(idAndWorker.getKey())) {
                    listings.add(idAndWorker.getValue().listing());
                }
            }
            node.deliver(at -> new FleetEvent.WorkersListed(at, TreePVector.from(listings)));
        }
        if (Math.floorMod(stepNumber, 5) == 0) {
            long sentAtMillis = nowMillis;
            sendToStore(node.name(), () -> readStore(node.name(), sentAtMillis));
        }
    }

    /**
     * Delivers peer addresses. While the entry knows no peers, it gets the addresses of all
     * entries, as from the settings; later it gets the addresses of the entries whose registration
     * in the store has not expired.
     */
    private void discoverPeers(Node node) {
        boolean noPeersKnown = node.state().membership().peerAddresses().isEmpty();
        boolean isStoreReachable =
                store.isAvailable() && !disconnectedLinks.contains(node.name() + "|" + STORE);
        if (noPeersKnown || isStoreReachable) {
            List<String> peers =
                    nodes.keySet().stream()
                            .filter(n -> noPeersKnown || isRegistered(n))
                            .map(n -> n + ":70")
                            .toList();
            node.deliver(at -> new MembershipEvent.PeersDiscovered(at, TreePVector.from(peers)));
        }
    }

    private boolean isRegistered(String node) {
        return nowMillis - storeContactMillis.getOrDefault(node, -ADDRESS_LEASE_MILLIS)
                < ADDRESS_LEASE_MILLIS;
    }

    void readStore(String node, long sentAtMillis) {
        storeContactMillis.put(node, nowMillis);
        var configuration = store.configuration();
        var ledger = store.ledger();
        long revision = store.revision();
        Node reader = nodes.get(node);
        long incarnation = reader.state().self().id().incarnation();
        send(
                STORE,
                node,
                () -> {
                    deliver(
                            reader,
                            incarnation,
                            at -> new ConfigurationLoaded(at, configuration, Optional.empty()));
                    deliver(
                            reader,
                            incarnation,
                            at -> new LimitEvent.LedgerLoaded(at, revision, ledger));
                    deliver(
                            reader,
                            incarnation,
                            at -> new StoreEvent.StoreContacted(at, sentAtMillis));
                });
    }
}
