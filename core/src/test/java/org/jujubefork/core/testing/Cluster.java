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
 * Entries, workers and a store that exchange messages, which can be delayed, lost, reordered and
 * cut. All choices come from the seed, so a run can be repeated.
 */
public final class Cluster {
    public static final long STEP_MILLIS = 100;
    private static final String STORE = "store";
    private static final long ADDRESS_LEASE_MILLIS = 15_000;

    /** A message on its way; {@code order} keeps runs repeatable. */
    private record Message(long atMillis, long order, String from, Runnable delivery) {}

    private final SplittableRandom random;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, FakeWorker> workers = new TreeMap<>();
    private final Set<String> unlisted = new HashSet<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> contacts = new TreeMap<>();
    private final FakeStore store;
    private final Effects effects = new Effects(this);
    private PriorityQueue<Message> messages =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::atMillis).thenComparingLong(Message::order));
    private long nowMillis = 1_000_000;
    private long order;
    private double loss;
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

    /** Keeps a running worker off the VM list. */
    public void unlist(String id) {
        unlisted.add(id);
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

    /** Sets the probability that a message is lost and the bound of its delay. */
    public void network(double lossProbability, long delayMillis) {
        loss = lossProbability;
        maxDelayMillis = delayMillis;
    }

    /** Cuts both directions between two entries, or an entry and a worker. */
    public void cut(String a, String b) {
        cuts.add(a + "|" + b);
        cuts.add(b + "|" + a);
    }

    public void cutStore(String node) {
        cut(node, STORE);
    }

    public void cutFromAll(String node) {
        cutStore(node);
        nodes.keySet().forEach(other -> cut(node, other));
    }

    public void heal() {
        cuts.clear();
    }

    public void kill(String node) {
        nodes.get(node).kill();
    }

    public void restart(String node) {
        nodes.get(node).restart(nowMillis);
    }

    /** Pauses an entry; some of what it has decided to send leaves only after the pause. */
    public void pause(String node, long millis) {
        nodes.get(node).pauseUntil(nowMillis + millis);
        PriorityQueue<Message> kept = new PriorityQueue<>(messages.comparator());
        for (Message message : messages) {
            boolean late = message.from().equals(node) && random.nextBoolean();
            kept.add(
                    late
                            ? new Message(
                                    message.atMillis() + millis,
                                    message.order(),
                                    node,
                                    message.delivery())
                            : message);
        }
        messages = kept;
    }

    /** Sends a message; returns whether it was lost or cut. */
    boolean send(String from, String to, Runnable delivery) {
        if (cuts.contains(from + "|" + to) || random.nextDouble() < loss) {
            return false;
        }
        after(1 + random.nextLong(maxDelayMillis), from, delivery);
        return true;
    }

    boolean sendToStore(String from, Runnable delivery) {
        return store.isUp() && send(from, STORE, delivery);
    }

    boolean answerFromStore(String to, LongFunction<Event> event) {
        Node node = nodes.get(to);
        long run = node.state().self().id().incarnation();
        return send(STORE, to, () -> deliver(node, run, event));
    }

    void after(long millis, String from, Runnable delivery) {
        messages.add(new Message(nowMillis + millis, order++, from, delivery));
    }

    /** Delivers an event from outside the cluster, such as a call. */
    public void deliverTo(Node node, LongFunction<Event> event) {
        node.deliver(event);
    }

    /** Delivers to the run of an entry that asked, not to a later one. */
    void deliver(Node node, long run, LongFunction<Event> event) {
        if (node.state().self().id().incarnation() == run) {
            node.deliver(event);
        }
    }

    public void run(long millis) {
        run(millis, () -> {});
    }

    /** Runs for {@code millis} and calls {@code check} after each step. */
    public void run(long millis, Runnable check) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
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
                    node.work(nowMillis, at -> new Tick(at, random.nextLong()))) {
                for (Effect effect : transition.effects()) {
                    effects.execute(node, effect);
                }
            }
        }
    }

    private void poll(Node node) {
        long beat = nowMillis / STEP_MILLIS + node.name().hashCode();
        if (Math.floorMod(beat, 10) == 0) {
            discoverPeers(node);
            List<WorkerListing> listings = new ArrayList<>();
            for (var entry : workers.entrySet()) {
                if (!unlisted.contains(entry.getKey())) {
                    listings.add(entry.getValue().listing());
                }
            }
            node.deliver(at -> new FleetEvent.WorkersListed(at, TreePVector.from(listings)));
        }
        if (Math.floorMod(beat, 5) == 0) {
            long sent = nowMillis;
            sendToStore(node.name(), () -> readStore(node.name(), sent));
        }
    }

    /** Delivers the addresses from the settings at first, later those with a lease in the store. */
    private void discoverPeers(Node node) {
        boolean fresh = node.state().membership().peerAddresses().isEmpty();
        boolean connected = store.isUp() && !cuts.contains(node.name() + "|" + STORE);
        if (fresh || connected) {
            List<String> peers =
                    nodes.keySet().stream()
                            .filter(n -> fresh || isRegistered(n))
                            .map(n -> n + ":70")
                            .toList();
            node.deliver(at -> new MembershipEvent.PeersDiscovered(at, TreePVector.from(peers)));
        }
    }

    private boolean isRegistered(String node) {
        return nowMillis - contacts.getOrDefault(node, -ADDRESS_LEASE_MILLIS)
                < ADDRESS_LEASE_MILLIS;
    }

    void readStore(String node, long sentAtMillis) {
        contacts.put(node, nowMillis);
        var configuration = store.configuration();
        var ledger = store.ledger();
        long revision = store.revision();
        Node reader = nodes.get(node);
        long run = reader.state().self().id().incarnation();
        send(
                STORE,
                node,
                () -> {
                    deliver(
                            reader,
                            run,
                            at -> new ConfigurationLoaded(at, configuration, Optional.empty()));
                    deliver(reader, run, at -> new LimitEvent.LedgerLoaded(at, revision, ledger));
                    deliver(reader, run, at -> new StoreEvent.StoreContacted(at, sentAtMillis));
                });
    }
}
