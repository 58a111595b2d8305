package org.jujubefork.core.workflow;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an overdue advice request that never gets an entry, because each entry has a short
 * request in flight whenever the overdue request goes first.
 */
public final class AdviceOverdueBlockedTest {
    private static final String JOB = "j";
    private static final String SHORT_QUEUE = "short";
    private static final long LONG_MILLIS = 250;
    private static final long SHORT_MILLIS = 50;

    /** Time after which the platform looks for accepted work that does not run. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long STEP_MILLIS = 20;

    private final Deque<WorkflowEffect.RequestAdvice> serviceQueue = new ArrayDeque<>();
    private long nextAnswerAt;
    private int nextNewJob;
    private LeaderFixture leader;

    private static Queue queue(String name, long adviceMillis) {
        return new Queue(
                name,
                "h",
                "/" + name + "/",
                LeaderFixture.SERVICE,
                0,
                3,
                3_000,
                2,
                400,
                true,
                Optional.of(new AdviceSettings(adviceMillis, 1, 20_000)));
    }

    private static CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                List.of(queue(LeaderFixture.QUEUE, LONG_MILLIS), queue(SHORT_QUEUE, SHORT_MILLIS)),
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(
                        new CellConfiguration.Team(
                                LeaderFixture.TEAM, List.of(), 500, Resources.ZERO)),
                100_000);
    }

    private void lead(String... workers) {
        serviceQueue.clear();
        nextNewJob = 0;
        leader =
                LeaderFixture.leading(
                        configuration(),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(workers);
        advance(300, workers);
    }

    /** Advances the time; the service answers one request of the entry after the other. */
    private void advance(long millis, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(STEP_MILLIS);
            for (String worker : workers) {
                leader.answerLeaseRenewal(worker);
            }
            leader.storeAll();
            leader.takeAdviceRequests().forEach(this::addCall);
            if (!serviceQueue.isEmpty() && leader.now() >= nextAnswerAt) {
                grant(serviceQueue.remove());
                nextAnswerAt =
                        serviceQueue.isEmpty()
                                ? 0
                                : leader.now() + serviceQueue.peek().costMillis();
                leader.takeAdviceRequests().forEach(this::addCall);
            }
        }
    }

    private void addCall(WorkflowEffect.RequestAdvice request) {
        if (serviceQueue.isEmpty()) {
            nextAnswerAt = leader.now() + request.costMillis();
        }
        serviceQueue.add(request);
    }

    private void grant(WorkflowEffect.RequestAdvice request) {
        Map<String, String> tickets = new HashMap<>();
        request.workers().forEach(w -> tickets.put(w, "ticket-" + w));
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.of(tickets)));
    }

    private void submitShort(String id) {
        leader.post(
                new WorkflowEvent.CallArrived(
                        leader.now(),
                        1_000_000 + nextNewJob,
                        new WorkflowEvent.Call.Submit(
                                SHORT_QUEUE,
                                LeaderFixture.TEAM,
                                id,
                                LeaderFixture.job(1, 1, false))));
    }

    private void advanceUnderLoad(long millis, int interval, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            submitShort("n" + nextNewJob++);
            advance(interval, workers);
        }
    }

    private long requestCount(String job) {
        return leader.adviceRequests().stream().filter(r -> r.step().job().equals(job)).count();
    }

    @DataProvider
    public Object[][] arrivalIntervals() {
        return new Object[][] {{500}, {60}, {40}, {20}};
    }

    /** The service has ample time at 500 ms and none below 60 ms. */
    @Test(dataProvider = "arrivalIntervals")
    public void longRequestIsSentWhileShortOnesArrive(int interval) {
        lead("a", "b");
        advanceUnderLoad(1_000, interval, "a", "b");
        leader.submit(JOB, LeaderFixture.job(1, 1, false));
        advanceUnderLoad(FINISH_MILLIS, interval, "a", "b");
        assertTrue(requestCount(JOB) > 0, "no request within " + FINISH_MILLIS + " ms");
    }

    @DataProvider
    public Object[][] longRequestQueued() {
        return new Object[][] {{false}, {true}};
    }

    /** A short overdue request must not wait behind an older long one that gets no entry. */
    @Test(dataProvider = "longRequestQueued")
    public void furtherRequestIsSentBehindLongOne(boolean longRequestQueued) {
        lead("a", "b");
        submitShort("s");
        advance(1_000, "a", "b");
        long before = requestCount("s");
        assertTrue(before > 0);
        advanceUnderLoad(500, 40, "a", "b");
        if (longRequestQueued) {
            leader.submit(JOB, LeaderFixture.job(1, 1, false));
            advanceUnderLoad(500, 40, "a", "b");
        }
        leader.listWorkers("c", "d");
        advance(200, "c", "d");
        leader.failLeaseRenewal("a", CommandOutcome.OTHER_WORKER);
        leader.failLeaseRenewal("b", CommandOutcome.OTHER_WORKER);
        advanceUnderLoad(FINISH_MILLIS, 40, "c", "d");
        assertTrue(requestCount("s") > before, "no further request");
    }
}
