package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.testng.annotations.Test;

/**
 * Guards against advice requests that keep the entries of a large cell busy while steps wait for
 * their first tickets: requests that name the whole fleet, requests that overtake the first request
 * of another step, and requests whose answer is of no use any more.
 */
public final class AdviceRequestTest {
    private static final int WORKER_COUNT = 250;
    private static final String URGENT = "urgent";
    private static final String PATIENT = "patient";
    private static final long TICKET_VALID_MILLIS = 2_000;

    /** Base time of a request, so long that each entry carries out one request at a time. */
    private static final double LONG_REQUEST_MILLIS = 400;

    private final LeaderFixture leader;

    public AdviceRequestTest() {
        leader = null;
    }

    private AdviceRequestTest(LeaderFixture leader) {
        this.leader = leader;
    }

    private static AdviceRequestTest start() {
        LeaderFixture fixture =
                LeaderFixture.leading(
                        configuration(),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        AdviceRequestTest test = new AdviceRequestTest(fixture);
        String[] ids =
                IntStream.range(0, WORKER_COUNT).mapToObj(i -> "w" + i).toArray(String[]::new);
        fixture.listWorkers(ids);
        fixture.advance(100);
        for (String id : ids) {
            fixture.answerLeaseRenewal(id);
        }
        fixture.advance(100);
        fixture.storeAll();
        fixture.effects.clear();
        return test;
    }

    private static CellConfiguration configuration() {
        AdviceSettings advice = new AdviceSettings(LONG_REQUEST_MILLIS, 1, TICKET_VALID_MILLIS);
        List<Queue> queues = new ArrayList<>();
        for (String name : List.of(URGENT, PATIENT)) {
            queues.add(
                    new Queue(
                            name,
                            "h",
                            "/" + name + "/",
                            LeaderFixture.SERVICE,
                            name.equals(URGENT) ? 1 : 2,
                            3,
                            3_000,
                            2,
                            400,
                            true,
                            Optional.of(advice)));
        }
        return new CellConfiguration(
                1,
                queues,
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(
                        new CellConfiguration.Team(
                                LeaderFixture.TEAM, List.of(), 50, Resources.ZERO)),
                100_000);
    }

    private void submit(String queue, String id, WorkflowDefinition job) {
        leader.post(
                new WorkflowEvent.CallArrived(
                        leader.now(),
                        1,
                        new WorkflowEvent.Call.Submit(queue, LeaderFixture.TEAM, id, job)));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
    }

    private List<WorkflowEffect.RequestAdvice> requests() {
        return leader.adviceRequests();
    }

    private WorkflowEffect.RequestAdvice lastRequest() {
        return requests().get(requests().size() - 1);
    }

    private void answer(WorkflowEffect.RequestAdvice request, Function<String, Boolean> isGranted) {
        Map<String, String> tickets =
                request.workers().stream()
                        .filter(isGranted::apply)
                        .collect(Collectors.toMap(w -> w, w -> "ticket-" + w));
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.of(tickets)));
        leader.advance(100);
    }

    private void fail(WorkflowEffect.RequestAdvice request) {
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.empty()));
        leader.advance(100);
    }

    private static Set<String> jobs(List<WorkflowEffect.RequestAdvice> requests) {
        return requests.stream().map(r -> r.step().job()).collect(Collectors.toSet());
    }

    @Test
    public void firstRequestNamesFewWorkersAndSpreadsThem() {
        AdviceRequestTest test = start();
        test.submit(URGENT, "a", LeaderFixture.job(3, 4, false));
        WorkflowEffect.RequestAdvice first = test.lastRequest();
        assertTrue(first.workers().size() <= 30, "names " + first.workers().size() + " workers");
        test.answer(first, w -> true);
        assertEquals(test.leader.startedWorkers().size(), 3);
        test.submit(URGENT, "b", LeaderFixture.job(3, 4, false));
        Set<String> common = new HashSet<>(first.workers());
        common.retainAll(test.lastRequest().workers());
        assertTrue(
                common.size() < first.workers().size() / 2,
                "two steps ask for the same workers: " + common);
    }

    @Test
    public void stepThatDoesNotFitAsksForOtherWorkers() {
        AdviceRequestTest test = start();
        test.submit(URGENT, "a", LeaderFixture.job(2, 16, false));
        WorkflowEffect.RequestAdvice first = test.lastRequest();
        test.answer(first, w -> false);
        WorkflowEffect.RequestAdvice further = test.lastRequest();
        assertFalse(
                first.workers().stream().anyMatch(further.workers()::contains),
                "asks again for a worker that may not run the step");
        test.answer(further, w -> true);
        assertEquals(test.leader.startedWorkers().size(), 2);
        int requestCount = test.requests().size();
        test.leader.advance(500);
        assertEquals(test.requests().size(), requestCount, "requests of a step that runs");
    }

    @Test
    public void firstRequestGoesBeforeFurtherRequestOfUrgentQueue() {
        AdviceRequestTest test = start();
        test.submit(URGENT, "a", LeaderFixture.job(2, 16, false));
        // The single entry carries out the request of step a, so those of b and c are pending.
        test.submit(URGENT, "b", LeaderFixture.job(2, 16, false));
        test.submit(PATIENT, "c", LeaderFixture.job(2, 16, false));
        assertEquals(jobs(test.requests()), Set.of("a"));
        test.answer(test.lastRequest(), w -> false);
        assertEquals(test.lastRequest().step().job(), "b");
        test.answer(test.lastRequest(), w -> false);
        assertEquals(test.lastRequest().step().job(), "c");
    }

    @Test
    public void requestOfCancelledJobIsDropped() {
        AdviceRequestTest test = start();
        test.submit(URGENT, "a", LeaderFixture.job(2, 16, false));
        test.submit(URGENT, "b", LeaderFixture.job(2, 16, false));
        test.leader.post(
                new WorkflowEvent.CallArrived(
                        test.leader.now(), 2, new WorkflowEvent.Call.Cancel(URGENT, "b")));
        test.answer(test.lastRequest(), w -> true);
        test.leader.advance(500);
        assertEquals(jobs(test.requests()), Set.of("a"));
    }

    /**
     * Guards against the timeout of an answered request that fails a later request of the step and
     * so takes away the workers on which its tasks are about to start.
     */
    @Test
    public void timeoutOfAnsweredRequestDoesNotFailLaterRequest() {
        AdviceRequestTest test = start();
        test.submit(URGENT, "a", LeaderFixture.job(2, 16, false));
        WorkflowEffect.RequestAdvice first = test.lastRequest();
        test.answer(first, w -> false);
        WorkflowEffect.RequestAdvice further = test.lastRequest();
        test.fail(first);
        assertEquals(test.requests().size(), 2, "the later request was given up");
        test.answer(further, w -> true);
        assertEquals(test.leader.startedWorkers().size(), 2);
    }

    /** Guards against tickets that cannot be renewed while the step asks for further workers. */
    @Test
    public void ticketsAreRenewedWhileFurtherRequestIsInFlight() {
        AdviceRequestTest test = start();
        PMap<String, Integer> followers = HashTreePMap.singleton("e1", 1_000);
        followers = followers.plus("e2", 1_000).plus("e3", 1_000);
        test.leader.post(new WorkflowEvent.FollowersChanged(test.leader.now(), followers));
        test.submit(URGENT, "a", LeaderFixture.job(2, 16, false));
        String[] granted = {test.lastRequest().workers().get(0)};
        test.answer(test.lastRequest(), w -> w.equals(granted[0]));
        assertEquals(test.leader.startedWorkers(), List.of(granted[0]));
        WorkflowEffect.RequestAdvice further = test.lastRequest();
        assertEquals(test.requests().size(), 2);
        // The run is rejected because its ticket has expired, while the further request is open.
        test.leader.completeStart(test.leader.starts().get(0), CommandOutcome.NO_TICKET);
        test.leader.advance(200);
        WorkflowEffect.RequestAdvice renewal = test.lastRequest();
        assertEquals(renewal.workers(), List.of(granted[0]));
        assertTrue(renewal.number() > further.number(), "no renewal beside the further request");
    }

    @Test
    public void largeCellsKeepAQuarterOfTheEntriesForShortRequests() {
        assertEquals(AdvisorLoads.maxLongRequestCount(1), 1);
        assertEquals(AdvisorLoads.maxLongRequestCount(2), 1);
        assertEquals(AdvisorLoads.maxLongRequestCount(8), 4);
        assertEquals(AdvisorLoads.maxLongRequestCount(48), 36);
    }

    /** Guards against requests of medium cost that wait behind long ones while entries are idle. */
    @Test
    public void mediumRequestsHaveEntriesThatLongOnesDoNotUse() {
        assertEquals(AdvisorLoads.maxBlockingRequestCount(1), 1);
        assertEquals(AdvisorLoads.maxBlockingRequestCount(2), 1);
        assertEquals(AdvisorLoads.maxBlockingRequestCount(4), 3);
        assertEquals(AdvisorLoads.maxBlockingRequestCount(8), 6);
        assertEquals(AdvisorLoads.maxBlockingRequestCount(48), 42);
    }

    @Test
    public void yieldFollowsTheAnswers() {
        AdviceYields yields = AdviceYields.NONE;
        for (int i = 0; i < 100; i++) {
            yields = yields.withAnswer("q", 20, 5);
        }
        assertEquals(yields.fraction("q"), 0.25, 0.01);
        for (int i = 0; i < 100; i++) {
            yields = yields.withAnswer("q", 20, 15);
        }
        assertEquals(yields.fraction("q"), 0.75, 0.05);
    }
}
