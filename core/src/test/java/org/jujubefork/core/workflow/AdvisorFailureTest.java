package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against steps that wait for tickets while some entries can reach the advice service and
 * others cannot: an entry that fails its requests at once is never loaded, and one that has left
 * answers nothing.
 */
public final class AdvisorFailureTest {
    private static final String[] WORKERS = {"w0", "w1", "w2", "w3"};

    /** Cost of a request in milliseconds; a request above 60 ms is long. */
    private static final int SHORT_REQUEST_MILLIS = 20;

    private static final int LONG_REQUEST_MILLIS = 400;

    /** Returns a leader, e0, with four workers and {@code followers}. */
    private static LeaderFixture start(int requestMillis, String... followers) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(new AdviceSettings(requestMillis, 1, 60_000)),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(WORKERS);
        advance(leader, 200);
        connect(leader, followers);
        return leader;
    }

    private static void connect(LeaderFixture leader, String... followers) {
        PMap<String, Integer> capacities = HashTreePMap.empty();
        for (String follower : followers) {
            capacities = capacities.plus(follower, 1_000);
        }
        leader.post(new WorkflowEvent.FollowersChanged(leader.now(), capacities));
    }

    /** Advances the time while the workers and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(20);
            for (String worker : WORKERS) {
                leader.answerLeaseRenewal(worker);
            }
            leader.storeAll();
        }
    }

    private static void fail(LeaderFixture leader, WorkflowEffect.RequestAdvice request) {
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.empty()));
    }

    /** Returns the requests that were sent since the first {@code count}. */
    private static List<WorkflowEffect.RequestAdvice> requestsAfter(
            LeaderFixture leader, int count) {
        List<WorkflowEffect.RequestAdvice> requests = leader.adviceRequests();
        return new ArrayList<>(requests.subList(count, requests.size()));
    }

    /**
     * Advances the time by {@code millis}. The requests to entries that {@code works} accepts are
     * answered within 20 ms, the others fail in that time. Returns the failed ones.
     */
    private static List<WorkflowEffect.RequestAdvice> serve(
            LeaderFixture leader, long millis, Predicate<String> works) {
        List<WorkflowEffect.RequestAdvice> failed = new ArrayList<>();
        for (long end = leader.now() + millis; leader.now() < end; ) {
            for (WorkflowEffect.RequestAdvice request : inFlight(leader)) {
                if (works.test(request.advisor())) {
                    leader.grantAdvice(request);
                } else {
                    failed.add(request);
                    fail(leader, request);
                }
            }
            advance(leader, 20);
        }
        return failed;
    }

    private static List<WorkflowEffect.RequestAdvice> inFlight(LeaderFixture leader) {
        return leader.adviceRequests().stream()
                .filter(r -> leader.state().adviceRequests().inFlight().containsKey(r.number()))
                .toList();
    }

    @DataProvider
    private Object[][] costs() {
        return new Object[][] {{SHORT_REQUEST_MILLIS}, {LONG_REQUEST_MILLIS}};
    }

    /** Guards against a step whose requests all go to the one entry that fails them at once. */
    @Test(dataProvider = "costs")
    public void requestThatFailedGoesToAnotherEntry(int requestMillis) {
        LeaderFixture leader = start(requestMillis, "e1");
        leader.submit("a", LeaderFixture.job(1, 4, false));
        advance(leader, 100);
        WorkflowEffect.RequestAdvice first = leader.adviceRequests().get(0);
        fail(leader, first);
        advance(leader, 100);
        assertEquals(leader.adviceRequests().size(), 2, "requests of the step");
        assertNotEquals(leader.adviceRequests().get(1).advisor(), first.advisor());
        leader.grantAdvice(leader.adviceRequests().get(1));
        advance(leader, 100);
        assertEquals(leader.startedWorkers().size(), 1);
    }

    /** Guards against an entry that fails its requests at once and so attracts those of all. */
    @Test(dataProvider = "costs")
    public void entryThatFailsIsAvoided(int requestMillis) {
        LeaderFixture leader = start(requestMillis, "e1", "e2");
        int failedCount = 0;
        for (int i = 0; i < 40; i++) {
            leader.submit("j" + i, LeaderFixture.job(1, 1, false));
            failedCount += serve(leader, 200, e -> !e.equals("e0")).size();
        }
        assertTrue(failedCount > 0, "the entry that fails got no request");
        assertTrue(failedCount <= 5, failedCount + " requests failed within 8 s");
        assertEquals(leader.startedWorkers().size(), 40);
    }

    /** Guards against an entry that works again and gets no request. */
    @Test(dataProvider = "costs")
    public void entryThatWorksAgainIsUsed(int requestMillis) {
        LeaderFixture leader = start(requestMillis, "e1");
        leader.submit("a", LeaderFixture.job(1, 1, false));
        advance(leader, 100);
        WorkflowEffect.RequestAdvice first = leader.adviceRequests().get(0);
        fail(leader, first);
        advance(leader, AdvisorFailures.MIN_AVOIDANCE_MILLIS + 100);
        assertTrue(leader.state().adviceRequests().failures().hasFailed(first.advisor()));
        // The other entry is busy with the request of the step a, which is not answered yet.
        for (String id : List.of("b", "c", "d")) {
            leader.submit(id, LeaderFixture.job(1, 1, false));
        }
        advance(leader, 100);
        List<WorkflowEffect.RequestAdvice> probes =
                requestsAfter(leader, 1).stream()
                        .filter(r -> r.advisor().equals(first.advisor()))
                        .toList();
        assertEquals(probes.size(), 1, "requests to the entry whose newest request has failed");
        leader.grantAdvice(probes.get(0));
        assertEquals(leader.state().adviceRequests().failures(), AdvisorFailures.NONE);
    }

    /** Guards against a cell in which no entry is asked any more after all have failed once. */
    @Test
    public void entriesAreUsedAlthoughAllHaveFailed() {
        LeaderFixture leader = start(SHORT_REQUEST_MILLIS, "e1");
        leader.submit("a", LeaderFixture.job(1, 1, false));
        assertTrue(serve(leader, 2_000, e -> false).size() > 4, "no request after the failures");
        serve(leader, 200, e -> true);
        assertEquals(leader.startedWorkers().size(), 1);
    }

    /** Guards against a step that waits for the timeout of a request to an entry that has left. */
    @Test
    public void requestInFlightAtEntryThatLeftIsSentAgain() {
        LeaderFixture leader = start(LONG_REQUEST_MILLIS, "e1", "e2");
        for (String id : List.of("a", "b", "c")) {
            leader.submit(id, LeaderFixture.job(1, 1, false));
        }
        advance(leader, 100);
        List<WorkflowEffect.RequestAdvice> sent = leader.adviceRequests();
        WorkflowEffect.RequestAdvice lost =
                sent.stream().filter(r -> !r.advisor().equals("e0")).findFirst().orElseThrow();
        connect(leader, lost.advisor().equals("e1") ? "e2" : "e1");
        for (WorkflowEffect.RequestAdvice request : sent) {
            if (!request.equals(lost)) {
                leader.grantAdvice(request);
            }
        }
        WorkflowEffect.RequestAdvice again =
                requestsAfter(leader, sent.size()).stream()
                        .filter(r -> r.step().equals(lost.step()))
                        .findFirst()
                        .orElseThrow(() -> new AssertionError("no further request of the step"));
        assertNotEquals(again.advisor(), lost.advisor());
        // The timeout of the first request must not fail the second one.
        fail(leader, lost);
        leader.grantAdvice(again);
        advance(leader, 100);
        assertTrue(
                leader.starts().stream()
                        .anyMatch(s -> s.command().task().job().equals(lost.step().job())),
                "starts: " + leader.starts());
    }

    /** Guards against an entry that is avoided after it has started anew. */
    @Test
    public void failuresOfEntryThatConnectsAnewAreForgotten() {
        LeaderFixture leader = start(SHORT_REQUEST_MILLIS, "e1");
        leader.submit("a", LeaderFixture.job(1, 1, false));
        serve(leader, 1_000, e -> false);
        assertTrue(leader.state().adviceRequests().failures().hasFailed("e1"));
        connect(leader);
        connect(leader, "e1");
        assertTrue(!leader.state().adviceRequests().failures().hasFailed("e1"));
    }

    @Test
    public void avoidanceGrowsToItsLimit() {
        AdvisorFailures failures = AdvisorFailures.NONE.withFailure("e1", 1_000);
        assertEquals(failures.avoidedUntil("e1"), 1_000 + AdvisorFailures.MIN_AVOIDANCE_MILLIS);
        assertEquals(
                failures.withFailure("e1", 3_000).avoidedUntil("e1"),
                3_000 + 2 * AdvisorFailures.MIN_AVOIDANCE_MILLIS);
        assertEquals(
                AdvisorFailures.avoidanceMillis(Integer.MAX_VALUE),
                AdvisorFailures.MAX_AVOIDANCE_MILLIS);
    }
}
