package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an accepted job that never runs again after it lost its worker, because its
 * request to the advice service stays queued while requests of other steps keep the service busy.
 */
public final class AdviceStarvationTest {
    private static final String JOB = "j";

    /** Time that the service needs for one request; there is one entry. */
    private static final long ADVICE_MILLIS = 250;

    /** Time after which the platform looks for accepted work that does not run. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long STEP_MILLIS = 20;

    private final Deque<WorkflowEffect.RequestAdvice> serviceQueue = new ArrayDeque<>();
    private long nextAnswerAt;
    private int nextNewJob;
    private LeaderFixture leader;

    private void lead(List<Job> jobs, String... workers) {
        serviceQueue.clear();
        nextAnswerAt = 0;
        nextNewJob = 0;
        leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(new AdviceSettings(ADVICE_MILLIS, 1, 20_000)),
                        new WorkflowEvent.Snapshot(jobs, List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(workers);
        advance(300, workers);
    }

    /** Advances the time; the service grants all workers of one request after the other. */
    private void advance(long millis, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(STEP_MILLIS);
            for (String worker : workers) {
                leader.answerLeaseRenewal(worker);
            }
            leader.storeAll();
            for (WorkflowEffect.RequestAdvice request : leader.takeAdviceRequests()) {
                if (serviceQueue.isEmpty()) {
                    nextAnswerAt = leader.now() + ADVICE_MILLIS;
                }
                serviceQueue.add(request);
            }
            if (!serviceQueue.isEmpty() && leader.now() >= nextAnswerAt) {
                nextAnswerAt = leader.now() + ADVICE_MILLIS;
                grant(serviceQueue.remove());
            }
        }
    }

    private void grant(WorkflowEffect.RequestAdvice request) {
        Map<String, String> tickets = new HashMap<>();
        request.workers().forEach(w -> tickets.put(w, "ticket-" + w));
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), Optional.of(tickets)));
    }

    private void submitNewJob() {
        leader.submit("n" + nextNewJob++, LeaderFixture.job(1, 1, false));
    }

    /** Advances the time while a new job arrives every {@code interval} milliseconds. */
    private void advanceUnderLoad(long millis, int interval, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            submitNewJob();
            advance(interval, workers);
        }
    }

    /** Replaces the workers {@code from} by others, which have their addresses. */
    private void replaceWorkers(String[] from, String... to) {
        leader.listWorkers(to);
        advance(500, to);
        for (String worker : from) {
            leader.failLeaseRenewal(worker, CommandOutcome.OTHER_WORKER);
        }
    }

    private long startCount(String job) {
        return leader.starts().stream().filter(s -> s.command().task().job().equals(job)).count();
    }

    @DataProvider
    public Object[][] arrivalIntervals() {
        return new Object[][] {{2_000}, {260}, {240}, {160}};
    }

    /** The service has ample time at 2,000 ms, little at 260 ms and none below 250 ms. */
    @Test(dataProvider = "arrivalIntervals")
    public void taskThatLostItsWorkerRunsAgainWhileNewJobsArrive(int interval) {
        lead(List.of(), "a", "b");
        leader.submit(JOB, LeaderFixture.job(1, 1, false));
        advance(1_000, "a", "b");
        assertEquals(startCount(JOB), 1);
        advanceUnderLoad(3_000, interval, "a", "b");
        replaceWorkers(new String[] {"a", "b"}, "c", "d");
        long lostAt = leader.now();
        while (startCount(JOB) < 2 && leader.now() - lostAt < FINISH_MILLIS) {
            advanceUnderLoad(interval, interval, "c", "d");
        }
        assertEquals(startCount(JOB), 2, "starts of the lost task within " + FINISH_MILLIS + " ms");
    }

    /** After a takeover the step has no tickets, and its job is the latest of all. */
    @Test(dataProvider = "arrivalIntervals")
    public void oldJobOfEarlierTermRunsWhileNewJobsArrive(int interval) {
        Job old = LeaderFixture.acceptedJob(JOB, LeaderFixture.job(1, 1, false), -60_000);
        lead(List.of(old.withOccurrence(0)), "a", "b");
        for (int i = 0; i < 8; i++) {
            submitNewJob();
        }
        long since = leader.now();
        while (startCount(JOB) < 1 && leader.now() - since < FINISH_MILLIS) {
            advanceUnderLoad(interval, interval, "a", "b");
        }
        assertEquals(startCount(JOB), 1, "starts of the old job within " + FINISH_MILLIS + " ms");
    }

    /** A request that names workers of the time when it was queued gets no useful answer. */
    @Test
    public void requestNamesTheWorkersThatAreThereWhenItIsSent() {
        lead(List.of(), "a", "b");
        submitNewJob();
        leader.advance(STEP_MILLIS);
        assertEquals(leader.takeAdviceRequests().size(), 1, "the service is busy");
        leader.submit(JOB, LeaderFixture.job(1, 1, false));
        advance(100, "a", "b");
        replaceWorkers(new String[] {"a", "b"}, "c", "d");
        advance(500, "c", "d");
        grant(leader.adviceRequests().get(0));
        List<WorkflowEffect.RequestAdvice> sent =
                leader.takeAdviceRequests().stream()
                        .filter(r -> r.step().job().equals(JOB))
                        .toList();
        assertEquals(sent.size(), 1, "requests of the step");
        assertTrue(List.of("c", "d").containsAll(sent.get(0).workers()), "named " + sent);
    }
}
