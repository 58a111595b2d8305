package org.jujubefork.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.function.BiFunction;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.testing.Cluster;
import org.jujubefork.core.testing.Fixtures;
import org.jujubefork.core.testing.Node;
import org.jujubefork.core.testing.Workload;
import org.pcollections.PVector;
import org.pcollections.TreePVector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against gossip traffic that grows without bound and against slow failure detection. */
public class GossipTest {
    private int rowCount;
    private int heartbeatCount;
    private int messageCount;

    private Cluster cluster(int entries, BiFunction<State, Event, Transition> reducer) {
        Cluster cluster = new Cluster(1, Fixtures.configuration(1, entries, Map.of("a", 20)));
        for (int i = 0; i < entries; i++) {
            cluster.addNode("e%02d".formatted(i), "z" + i % 7, reducer);
        }
        for (int i = 0; i < 14; i++) {
            cluster.addWorker("w" + i, "z" + i % 7);
        }
        return cluster;
    }

    private Transition reduceAndCount(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        for (var effect : transition.effects()) {
            if (effect instanceof GossipEffect.SendGossip gossip) {
                messageCount++;
                rowCount += gossip.rows().size();
                heartbeatCount += gossip.heartbeats().size();
            }
        }
        return transition;
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {8}, {16}, {32}, {64}};
    }

    /** Guards against gossip traffic per entry that grows with the number of entries. */
    @Test(dataProvider = "sizes")
    public void costPerEntryIsBounded(int entries) {
        Cluster cluster = cluster(entries, this::reduceAndCount);
        cluster.runFor(60_000);
        messageCount = 0;
        rowCount = 0;
        heartbeatCount = 0;
        cluster.runFor(64_000);
        double entrySeconds = 64.0 * entries;
        assertTrue(messageCount / entrySeconds <= 3.2, messageCount / entrySeconds + " messages/s");
        assertTrue(
                heartbeatCount / entrySeconds <= 48,
                heartbeatCount / entrySeconds + " heartbeats/s");
        assertTrue(rowCount / entrySeconds <= 3, rowCount / entrySeconds + " rows/s");
    }

    private static long slowestDetectionMillis(
            BiFunction<State, Event, Transition> reducer, long maxMillis) {
        long slowestMillis = 0;
        Cluster cluster = new GossipTest().cluster(8, reducer);
        cluster.runFor(20_000);
        for (int index = 0; index < 8; index += 3) {
            String name = "e%02d".formatted(index);
            cluster.kill(name);
            long killedAtMillis = cluster.nowMillis();
            while (cluster.nowMillis() - killedAtMillis < maxMillis
                    && isConsideredAliveBySome(cluster, name)) {
                cluster.runFor(Cluster.STEP_MILLIS);
            }
            slowestMillis = Math.max(slowestMillis, cluster.nowMillis() - killedAtMillis);
            cluster.restart(name);
            cluster.runFor(20_000);
        }
        return slowestMillis;
    }

    private static boolean isConsideredAliveBySome(Cluster cluster, String name) {
        return cluster.nodes().stream()
                .filter(n -> n.isAlive() && !n.name().equals(name))
                .anyMatch(
                        n ->
                                Membership.isAlive(
                                        n.state(), n.state().membership().members().get(name)));
    }

    /**
     * Guards against entries that detect a dead entry later than after 5 s because its last
     * heartbeat reached them over a relay.
     */
    @Test
    public void deadEntryIsDetectedByAll() {
        long slowestMillis = slowestDetectionMillis(Reducer::reduce, 20_000);
        assertTrue(slowestMillis <= 5_300, slowestMillis + " ms");
    }

    /** Shows that detection takes longer if relayed heartbeats do not carry their age. */
    @Test
    public void relayedHeartbeatsWithoutAgeDelayDetection() {
        long slowestMillis =
                slowestDetectionMillis(
                        (state, event) -> Reducer.reduce(state, withoutAge(event)), 20_000);
        assertTrue(slowestMillis > 5_300, slowestMillis + " ms");
    }

    private static Event withoutAge(Event event) {
        if (!(event instanceof MembershipEvent.GossipReceived gossip)) {
            return event;
        }
        PVector<Heartbeat> heartbeats = TreePVector.empty();
        for (Heartbeat heartbeat : gossip.heartbeats()) {
            heartbeats = heartbeats.plus(new Heartbeat(heartbeat.id(), heartbeat.heartbeat(), 0));
        }
        return new MembershipEvent.GossipReceived(
                gossip.atMillis(), gossip.from(), gossip.rows(), heartbeats);
    }

    /** Guards against live entries that are suspected although there are no faults. */
    @Test
    public void noEntryIsSuspectedWithoutFaults() {
        Cluster cluster = cluster(8, Reducer::reduce);
        cluster.runFor(10_000);
        int[] suspectedCount = new int[1];
        cluster.runFor(
                120_000,
                () -> {
                    for (Node node : cluster.nodes()) {
                        suspectedCount[0] +=
                                (int)
                                        node.state().membership().members().values().stream()
                                                .filter(
                                                        m ->
                                                                !Membership.isResponsive(
                                                                        node.state(), m))
                                                .count();
                    }
                });
        assertEquals(suspectedCount[0], 0);
    }

    /** Guards against a changed row that never arrives because the message with it was lost. */
    @Test
    public void lostRowsAreSentAgain() {
        Cluster cluster = cluster(8, Reducer::reduce);
        cluster.setNetwork(0.3, 300);
        cluster.runFor(60_000);
        cluster.setNetwork(0, 10);
        cluster.runFor(15_000);
        Node owner = Workload.owner(cluster, "z3").orElseThrow();
        for (Node node : cluster.nodes()) {
            Member ownerAsSeen = node.state().membership().members().get(owner.name());
            assertTrue(
                    node == owner || ownerAsSeen.row().shard(ShardId.of("z3")).isPresent(),
                    node.name());
        }
    }

    /** Guards against dead members that are never removed. */
    @Test
    public void deadMemberIsRemoved() {
        Cluster cluster = cluster(3, Reducer::reduce);
        cluster.runFor(10_000);
        cluster.kill("e02");
        cluster.runFor(Membership.REMOVE_AFTER_MILLIS + 10_000);
        var membership = cluster.node("e00").state().membership();
        assertFalse(membership.members().containsKey("e02"));
        assertFalse(membership.gossip().deadMembers().contains("e02"));
    }

    /** Guards against an older incarnation that accepts work after a newer one has started. */
    @Test
    public void olderIncarnationDrains() {
        Cluster cluster = cluster(3, Reducer::reduce);
        cluster.runFor(10_000);
        State staleState = cluster.node("e00").state();
        cluster.restart("e00");
        cluster.runFor(5_000);
        MemberRow row = Membership.ownRow(cluster.node("e00").state());
        State informedState =
                Reducer.reduce(
                                staleState,
                                new MembershipEvent.GossipReceived(
                                        staleState.nowMillis(),
                                        row.id(),
                                        TreePVector.singleton(row)))
                        .state();
        assertTrue(informedState.draining());
    }
}
