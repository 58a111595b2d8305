package org.jujubefork.core.workflow;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.pcollections.HashTreePMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an accepted job that never starts because the advice service refused its workers
 * before they restarted and other steps keep the service busy, and against requests about refused
 * workers that delay others.
 */
public final class RefusalUnderLoadTest {
    private static final String JOB = "j";
    private static final long ADVICE_MILLIS = 250;
    private static final long MAX_START_MILLIS = 10_000;

    private final Deque<WorkflowEffect.RequestAdvice> queue = new ArrayDeque<>();
    private long nextAnswerAt;
    private int namedAgain;
    private String watched = "";
    private long watchedAt;
    private LeaderFixture leader;

    private void start(String... workers) {
        queue.clear();
        nextAnswerAt = 0;
        namedAgain = 0;
        leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(new AdviceSettings(ADVICE_MILLIS, 1, 20_000)),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(workers);
        advance(300, Set.of(), workers);
    }

    /** Advances the time; the service answers one request in {@link #ADVICE_MILLIS}. */
    private void advance(long millis, Set<String> permitted, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(20);
            for (String worker : workers) {
                leader.answerLeaseRenewal(worker);
            }
            leader.storeAll();
            for (WorkflowEffect.RequestAdvice request : leader.takeAdviceRequests()) {
                watchedAt = request.step().job().equals(watched) ? leader.now() : watchedAt;
                namedAgain += request.step().job().equals(JOB) ? 1 : 0;
                if (queue.isEmpty()) {
                    nextAnswerAt = leader.now() + ADVICE_MILLIS;
                }
                queue.add(request);
            }
            if (!queue.isEmpty() && leader.now() >= nextAnswerAt) {
                WorkflowEffect.RequestAdvice request = queue.remove();
                nextAnswerAt = leader.now() + ADVICE_MILLIS;
                Map<String, String> tickets = new HashMap<>();
                request.workers().stream()
                        .filter(
                                w ->
                                        request.step().job().equals(JOB)
                                                ? permitted.contains(w)
                                                : w.compareTo("b") > 0)
                        .forEach(w -> tickets.put(w, "ticket-" + w));
                leader.post(
                        new WorkflowEvent.AdviceCompleted(
                                leader.now(),
                                request.fence(),
                                request.number(),
                                Optional.of(tickets)));
            }
        }
    }

    @DataProvider
    public Object[][] blockedSteps() {
        return new Object[][] {{0}, {4}, {7}, {12}, {20}, {40}};
    }

    /** Steps that no worker may run, accepted earlier, are also named again and again. */
    @Test(dataProvider = "blockedSteps")
    public void refusedStepStartsBesideStepsThatNoWorkerMayRun(int blockedCount) {
        start("a", "b");
        for (int i = 0; i < blockedCount; i++) {
            leader.submit("b" + i, LeaderFixture.job(1, 8, false));
            advance(40, Set.of(), "a", "b");
        }
        advance(blockedCount * ADVICE_MILLIS + 1_000, Set.of(), "a", "b");
        leader.submit(JOB, LeaderFixture.job(1, 8, false));
        advance(2_000, Set.of(), "a", "b");
        assertTrue(namedAgain >= 1, "no first request");
        leader.restartWorker("a");
        leader.restartWorker("b");
        advance(MAX_START_MILLIS, Set.of("a", "b"), "a", "b");
        assertTrue(leader.startedWorkers().size() == 1, "requests of the step: " + namedAgain);
    }

    @DataProvider
    public Object[][] arrivalIntervals() {
        return new Object[][] {{500}, {360}, {280}, {240}};
    }

    /** New jobs, which get tickets for other workers and start, arrive all the time. */
    @Test(dataProvider = "arrivalIntervals")
    public void refusedStepStartsWhileNewJobsArrive(int intervalMillis) {
        String[] workers = {"a", "c", "d", "e"};
        start(workers);
        leader.submit(JOB, LeaderFixture.job(1, 8, false));
        advance(1_000, Set.of(), workers);
        assertTrue(namedAgain >= 1, "no first request");
        leader.restartWorker("a");
        long since = leader.now();
        for (int i = 0; !isStarted() && leader.now() < since + MAX_START_MILLIS; i++) {
            leader.submit("n" + i, LeaderFixture.job(1, 1, false));
            advance(intervalMillis, Set.of("a"), workers);
        }
        assertTrue(isStarted(), "requests of the step: " + namedAgain);
    }

    private boolean isStarted() {
        return leader.starts().stream().anyMatch(s -> s.command().task().job().equals(JOB));
    }

    @DataProvider
    public Object[][] waitingSteps() {
        return new Object[][] {{0}, {1}, {4}, {10}, {30}};
    }

    /** Requests about refused workers must not delay the first request of a new step. */
    @Test(dataProvider = "waitingSteps")
    public void firstRequestIsSentAtOnceBesideRefusedSteps(int waitingCount) {
        start("a", "b");
        leader.post(
                new WorkflowEvent.FollowersChanged(
                        leader.now(), HashTreePMap.singleton("e1", 1_000)));
        for (int i = 0; i < waitingCount; i++) {
            leader.submit("b" + i, LeaderFixture.job(1, 8, false));
            advance(40, Set.of(), "a", "b");
        }
        advance(waitingCount * ADVICE_MILLIS + 5_000, Set.of(), "a", "b");
        long total = 0;
        long max = 0;
        for (int i = 0; i < 20; i++) {
            namedAgain = 0;
            String id = "x" + i;
            watched = id;
            watchedAt = -1;
            long at = leader.now();
            leader.submit(id, LeaderFixture.job(1, 8, false));
            while (watchedAt < 0 && leader.now() < at + 5_000) {
                advance(20, Set.of(), "a", "b");
            }
            total += leader.now() - at;
            max = Math.max(max, leader.now() - at);
            leader.cancel(id);
            advance(1_110, Set.of(), "a", "b");
        }
        assertTrue(max <= 60, "mean delay " + total / 20 + " ms, highest " + max + " ms");
    }
}
