package org.jujubefork.core.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.RetryBudget;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.ClusterInvariants;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Node;
import org.jujubefork.core.testing.Workload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against lookups that wait in a shard without budget until their deadline, while another
 * shard has budget left.
 */
public class BudgetRoutingTest {
    private static final int ENTRIES = 3;
    private static final int ZONES = 2;

    /** A request is tried once in each shard, and may wait in one of them after that. */
    private static final int MAX_ATTEMPTS = ZONES + 1;

    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final Set<RequestId> done = new HashSet<>();
    private final List<RequestEffect.Refuse> refused = new ArrayList<>();
    private Cluster cluster;
    private int returned;
    private int next;

    private void start(long seed, int limit) {
        attempts.clear();
        done.clear();
        refused.clear();
        returned = 0;
        next = 0;
        cluster = new Cluster(seed, Fixtures.configuration(1, ENTRIES, Map.of("a", limit)));
        for (int i = 0; i < ENTRIES; i++) {
            cluster.addNode("e" + i, "z" + i % ZONES, this::observed);
        }
        for (int i = 0; i < 2 * ZONES; i++) {
            cluster.addWorker("w" + i, "z" + i % ZONES);
        }
    }

    private Transition observed(State state, Event event) {
        if (event instanceof RequestEvent.ForwardAnswered answered
                && answered.result().reason() == RefusalReason.BUDGET_USED_UP) {
            returned++;
        }
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            switch (effect) {
                case RequestEffect.Forward e -> attempts.merge(e.request(), 1, Integer::sum);
                case RequestEffect.ReleaseAnswer e -> done.add(e.request());
                case RequestEffect.Refuse e -> refused.add(e);
                default -> {}
            }
        }
        return transition;
    }

    /** Sends lookups of team a to random entries that run, {@code perStep} in each step. */
    private void call(double perStep) {
        List<Node> running =
                cluster.nodes().stream().filter(n -> n.isRunning(cluster.nowMillis())).toList();
        for (double left = perStep; cluster.random().nextDouble() < left; left--) {
            Node front = running.get(cluster.random().nextInt(running.size()));
            RequestId request = RequestId.of("call" + next++);
            long random = cluster.random().nextLong();
            cluster.deliverTo(
                    front,
                    at ->
                            new RequestEvent.RequestArrived(
                                    at,
                                    request,
                                    QueueId.of("a"),
                                    Optional.empty(),
                                    Optional.empty(),
                                    random));
        }
    }

    private void takeOverInOutage() {
        cluster.store().setAvailable(false);
        Node owner = Workload.owner(cluster, "z1").orElseThrow();
        cluster.kill(owner.name());
        cluster.runFor(20_000);
        assertTrue(Workload.owner(cluster, "z1").isPresent(), "z1 has a new owner");
    }

    @DataProvider
    public Object[][] seeds() {
        List<Object[]> seeds = new ArrayList<>();
        for (long seed = 801; seed <= 810; seed++) {
            seeds.add(new Object[] {seed});
        }
        return seeds.toArray(Object[][]::new);
    }

    /** A limit above what the fleet holds must not make work wait, even without any ledger row. */
    @Test(dataProvider = "seeds")
    public void limitThatCannotBindNeverMakesWorkWait(long seed) {
        start(seed, 1_000);
        cluster.runFor(15_000);
        takeOverInOutage();
        cluster.runFor(20_000, () -> call(0.8));
        cluster.runFor(12_000);
        assertEquals(refused.toString(), "[]", "seed " + seed);
        assertEquals(done.size(), next, "seed " + seed);
    }

    /**
     * After a takeover in an outage, the successor has no budget it may use. Lookups must run in
     * the other shard, and none may be sent in circles.
     */
    @Test(dataProvider = "seeds")
    public void lookupsLeaveAShardWithoutBudget(long seed) {
        start(seed, 12);
        cluster.runFor(15_000);
        takeOverInOutage();
        int first = next;
        cluster.runFor(30_000, this::callAndCheck);
        cluster.runFor(12_000);
        assertEquals(refused.toString(), "[]", "seed " + seed);
        assertEquals(done.size(), next, "seed " + seed);
        assertTrue(
                returned <= RetryBudget.MAX_BURST_RETRIES + (next - first) / 10,
                returned + " returns");
        assertTrue(
                attempts.values().stream().allMatch(n -> n <= MAX_ATTEMPTS),
                "seed " + seed + " " + attempts);
        assertTrue(
                cluster.nodes().stream()
                        .filter(Node::isAlive)
                        .allMatch(
                                n ->
                                        n.state().shards().values().stream()
                                                .allMatch(
                                                        s ->
                                                                !s.id().equals(ShardId.of("z1"))
                                                                        || s.usage().isEmpty())),
                "seed " + seed + " started work without budget");
    }

    private void callAndCheck() {
        call(0.15);
        new ClusterInvariants(cluster).checkLimits();
    }
}
