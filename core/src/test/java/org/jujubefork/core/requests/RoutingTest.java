package org.jujubefork.core.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Tests the choice of a shard by an entry that owns no shard. */
public class RoutingTest {
    private static final String[] ZONES = {"zone-b", "zone-c", "zone-far"};

    private static State state(int... queued) {
        SingleEntryCell cell = SingleEntryCell.of(0, 1, Tuning.DEFAULT);
        State state =
                State.initial(cell.state.self(), Timing.DEFAULT, 0)
                        .withConfiguration(cell.state.configuration().orElseThrow());
        List<WorkerListing> listings = new ArrayList<>();
        List<MemberRow> rows = new ArrayList<>();
        for (int i = 0; i < ZONES.length; i++) {
            String region = i < 2 ? "region-a" : "region-b";
            Location location = new Location(region, ZONES[i], "rack");
            listings.add(
                    new WorkerListing(
                            SingleEntryCell.worker(i),
                            "h:1",
                            location,
                            SingleEntryCell.WORKER_CAPACITY,
                            8,
                            false));
            EntryId id = new EntryId("entry-" + i, 1);
            ShardSummary summary =
                    new ShardSummary(
                            Epoch.of(1, id),
                            1,
                            8,
                            queued[i],
                            SingleEntryCell.WORKER_CAPACITY,
                            SingleEntryCell.WORKER_CAPACITY,
                            SingleEntryCell.WORKER_CAPACITY,
                            TreePMap.empty(),
                            Optional.empty());
            rows.add(
                    new MemberRow(
                            id,
                            location,
                            "h:" + i,
                            "p:" + i,
                            1,
                            1,
                            true,
                            false,
                            TreePMap.singleton(ShardId.of(ZONES[i]), summary)));
        }
        state =
                Reducer.reduce(state, new FleetEvent.WorkersListed(0, TreePVector.from(listings)))
                        .state();
        return Reducer.reduce(
                        state,
                        new MembershipEvent.GossipReceived(
                                0, new EntryId("entry-0", 1), TreePVector.from(rows)))
                .state();
    }

    private static Transition arrive(State state, int number) {
        return Reducer.reduce(
                state,
                new RequestEvent.RequestArrived(
                        10,
                        RequestId.of("r" + number),
                        SingleEntryCell.queue(WorkKind.LOOKUP, 0),
                        Optional.empty(),
                        Optional.empty(),
                        number));
    }

    private static Optional<RequestEffect.Forward> findForward(Transition transition) {
        return transition.effects().stream()
                .filter(RequestEffect.Forward.class::isInstance)
                .map(RequestEffect.Forward.class::cast)
                .findFirst();
    }

    private static RequestEffect.Forward forwardOfAttempt(Transition transition) {
        return findForward(transition).orElseThrow();
    }

    private static Map<String, Integer> targets(State state) {
        Map<String, Integer> targets = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            targets.merge(
                    forwardOfAttempt(arrive(state, i)).forwarded().shard().value(),
                    1,
                    Integer::sum);
        }
        return targets;
    }

    /** Guards against stale gossip that sends all entries to the same shard. */
    @Test
    public void routesOfSimilarCostAreChosenAtRandom() {
        Map<String, Integer> targets = targets(state(0, 0, 0));
        assertEquals(targets.keySet(), java.util.Set.of("zone-b", "zone-c"));
        assertTrue(targets.values().stream().allMatch(n -> n >= 30), "uneven: " + targets);
    }

    /** Guards against lookups that wait in a full region while another region is idle. */
    @Test
    public void longWaitOutweighsDistance() {
        assertEquals(targets(state(200, 200, 0)).keySet(), java.util.Set.of("zone-far"));
        assertEquals(targets(state(200, 0, 0)).keySet(), java.util.Set.of("zone-c"));
    }

    /** Guards against billed traffic between regions that costs more than the time it saves. */
    @Test
    public void largeAnswersStayInTheRegion() {
        State state = state(10, 10, 0);
        assertEquals(targets(state).keySet(), java.util.Set.of("zone-far"));
        State large =
                Requests.recordAnswerBytes(
                        state, SingleEntryCell.queue(WorkKind.LOOKUP, 0), 4 << 20);
        assertEquals(targets(large).keySet(), java.util.Set.of("zone-b", "zone-c"));
    }

    /** Guards against requests that are sent repeatedly to an unreachable owner. */
    @Test
    public void failedRouteIsTemporarilyAvoided() {
        State state = state(0, 0, 0);
        Transition sent = arrive(state, 1);
        RequestEffect.Forward first = forwardOfAttempt(sent);
        Transition failed =
                Reducer.reduce(
                        sent.state(),
                        new RequestEvent.ForwardFailed(20, first.request(), first.owner(), false));
        assertNotEquals(forwardOfAttempt(failed).forwarded().shard(), first.forwarded().shard());
        for (int i = 10; i < 40; i++) {
            assertNotEquals(
                    forwardOfAttempt(arrive(failed.state(), i)).forwarded().shard(),
                    first.forwarded().shard());
        }
    }

    /** Guards against retries that amplify the load after an outage. */
    @Test
    public void retriesStayWithinTheBudget() {
        State state = state(0, 0, 0);
        int retryCount = 0;
        for (int i = 0; i < 500; i++) {
            Transition sent = arrive(state, i);
            state = sent.state();
            var forward = Optional.of(forwardOfAttempt(sent));
            for (int attempt = 0; forward.isPresent() && attempt < 50; attempt++) {
                Transition failed =
                        Reducer.reduce(
                                state,
                                new RequestEvent.ForwardFailed(
                                        20, forward.get().request(), forward.get().owner(), false));
                state = failed.state();
                forward = findForward(failed);
                retryCount += forward.isPresent() ? 1 : 0;
            }
        }
        assertTrue(retryCount <= 60, "retries above 10% of 500 and a burst of 10: " + retryCount);
        assertEquals(state.requests().active().size(), 0);
    }

    /**
     * Guards against lookups that wait until their deadline for a paused owner, which keeps its
     * connections open.
     */
    @Test
    public void lookupAtAnUnresponsiveOwnerIsRetriedElsewhere() {
        State state = state(0, 0, 0);
        RequestId request = RequestId.of("request-1");
        Transition arrived =
                Reducer.reduce(
                        state,
                        new RequestEvent.RequestArrived(
                                0,
                                request,
                                SingleEntryCell.queue(WorkKind.LOOKUP, 0),
                                Optional.empty(),
                                Optional.empty(),
                                0));
        EntryId first = forwardOf(arrived).owner();
        List<MemberRow> alive = new ArrayList<>();
        for (var member : arrived.state().membership().members().values()) {
            if (!member.row().id().equals(first)) {
                alive.add(heartbeat(member.row()));
            }
        }
        State later = arrived.state();
        for (long second = 1; second <= 3; second++) {
            alive.replaceAll(RoutingTest::heartbeat);
            later =
                    Reducer.reduce(
                                    later,
                                    new MembershipEvent.GossipReceived(
                                            second * 1_000,
                                            alive.get(0).id(),
                                            TreePVector.from(alive)))
                            .state();
        }
        Transition ticked = Reducer.reduce(later, new Tick(3_500, 1));
        assertNotEquals(forwardOf(ticked).owner(), first);
    }

    private static RequestEffect.Forward forwardOf(Transition transition) {
        return transition.effects().stream()
                .filter(RequestEffect.Forward.class::isInstance)
                .map(RequestEffect.Forward.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static MemberRow heartbeat(MemberRow row) {
        return new MemberRow(
                row.id(),
                row.location(),
                row.httpAddress(),
                row.peerAddress(),
                row.heartbeat() + 1,
                row.configurationVersion(),
                row.storeReachable(),
                row.leaving(),
                row.shards());
    }
}
