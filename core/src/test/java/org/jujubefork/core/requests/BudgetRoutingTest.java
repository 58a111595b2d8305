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
 * Guards against lookups that wait in a shard without budget until their deadline although another
 * shard has budget.
 */
public class BudgetRoutingTest {
    private static final int ENTRIES = 3;
    private static final int ZONES = 2;

    /** One attempt in each shard, and one more attempt that waits in one of the shards. */
    private static final int MAX_ATTEMPTS = ZONES + 1;

    private final Map<RequestId, Integer> attemptsByRequest = new HashMap<>();
    private final Set<RequestId> answered = new HashSet<>();
    private final List<RequestEffect.Refuse> refusals = new ArrayList<>();
    private Cluster cluster;
    private int declineCount;
    private int requestCount;

    private void start(long seed, int limit) {
        attemptsByRequest.clear();
        answered.clear();
        refusals.clear();
        declineCount = 0;
        requestCount = 0;
        cluster = new Cluster(seed, Fixtures.configuration(1, ENTRIES, Map.of("a", limit)));
        for (int i = 0; i < ENTRIES; i++) {
            cluster.addNode("e" + i, "z" + i % ZONES, this::observe);
        }
        for (int i = 0; i < 2 * ZONES; i++) {
            cluster.addWorker("w" + i, "z" + i % ZONES);
        }
    }

    private Transition observe(State state, Event event) {
        if (event instanceof RequestEvent.ForwardAnswered forwardAnswer
                && forwardAnswer.result().reason() == RefusalReason.BUDGET_USED_UP) {
            declineCount++;
        }
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            switch (effect) {
                case RequestEffect.Forward e ->
                        attemptsByRequest.merge(e.request(), 1, Integer::sum);
                case RequestEffect.ReleaseAnswer e -> answered.add(e.request());
                case RequestEffect.Refuse e -> refusals.add(e);
                default -> {}
            }
        }
        return transition;
    }

    /** Sends on average {@code lookupsPerStep} lookups of team a to random running entries. */
    private void sendLookups(double lookupsPerStep) {
        List<Node> running =
                cluster.nodes().stream().filter(n -> n.isRunning(cluster.nowMillis())).toList();
        for (double remainingLookups = lookupsPerStep;
                cluster.random().nextDouble() < remainingLookups;
                remainingLookups--) {
            Node receiver = running.get(cluster.random().nextInt(running.size()));
            RequestId request = RequestId.of("call" + requestCount++);
            long random = cluster.random().nextLong();
            cluster.deliverTo(
                    receiver,
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

    private void takeOverDuringOutage() {
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

    /**
     * Guards against a limit that delays work although it exceeds the capacity of the fleet, also
     * while an owner has no ledger row.
     */
    @Test(dataProvider = "seeds")
    public void nonBindingLimitNeverDelaysWork(long seed) {
        start(seed, 1_000);
        cluster.runFor(15_000);
        takeOverDuringOutage();
        cluster.runFor(20_000, () -> sendLookups(0.8));
        cluster.runFor(12_000);
        assertEquals(refusals.toString(), "[]", "seed " + seed);
        assertEquals(answered.size(), requestCount, "seed " + seed);
    }

    /**
     * Guards against lookups that wait in a shard without budget or are forwarded in circles. After
     * a takeover during a store outage, the new owner has no budget, so lookups must run in the
     * other shard.
     */
    @Test(dataProvider = "seeds")
    public void lookupsAvoidAShardWithoutBudget(long seed) {
        start(seed, 12);
        cluster.runFor(15_000);
        takeOverDuringOutage();
        int requestsBefore = requestCount;
        cluster.runFor(30_000, this::sendLookupsAndCheck);
        cluster.runFor(12_000);
        assertEquals(refusals.toString(), "[]", "seed " + seed);
        assertEquals(answered.size(), requestCount, "seed " + seed);
        assertTrue(
                declineCount
                        <= RetryBudget.MAX_BURST_RETRIES + (requestCount - requestsBefore) / 10,
                declineCount + " declined attempts");
        assertTrue(
                attemptsByRequest.values().stream().allMatch(n -> n <= MAX_ATTEMPTS),
                "seed " + seed + " " + attemptsByRequest);
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
                "seed " + seed + ": z1 started work without budget");
    }

    private void sendLookupsAndCheck() {
        sendLookups(0.15);
        new ClusterInvariants(cluster).checkLimits();
    }
}
