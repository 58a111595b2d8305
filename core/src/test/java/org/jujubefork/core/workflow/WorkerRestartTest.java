package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a task that never starts again after its worker has restarted, has moved or was
 * replaced at its address, and against completions that are acknowledged without being processed.
 */
public final class WorkerRestartTest {
    private static final String JOB = "j";
    private static final TaskKey TASK = new TaskKey(JOB, 0, 0, 0);
    private static final long EARLIER = 7;
    private static final long LATER = 8;

    /** Time for an outcome, the retry of a stop command, two reports and a placement pass. */
    private static final long RESTART_MILLIS = 3_000;

    /** Time by which the lease of a run has ended that was started or renewed before. */
    private static final long LEASE_END_MILLIS =
            WorkflowLimits.addLeaseMargin(WorkflowLimits.WORKER_LEASE_MILLIS) + RESTART_MILLIS;

    private int answeredStopCount;
    private int answeredStartCount;

    /** Returns a leader that has started run 1 of a task on worker {@code a}. */
    private static LeaderFixture started(boolean isGang) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a");
        leader.advance(100);
        answer(leader, "a", EARLIER);
        leader.storeAll();
        leader.submit(JOB, LeaderFixture.job(1, 4, isGang));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
        assertEquals(leader.startedWorkers(), List.of("a"));
        return leader;
    }

    /** Answers the renewal in flight with a report without active runs, as sent at its time. */
    private static void answer(LeaderFixture leader, String worker, long born, EndedRun... ended) {
        WorkerNode node = leader.state().workers().get(worker);
        if (node == null || !node.contact().renewalInFlight()) {
            return;
        }
        leader.post(
                new WorkflowEvent.LeaseRenewalAnswered(
                        leader.now(),
                        leader.state().fence(),
                        node.contact().renewalSentAt(),
                        worker,
                        new WorkflowEvent.WorkerReport(
                                born,
                                leader.now(),
                                TreePVector.empty(),
                                TreePVector.from(List.of(ended)),
                                true)));
    }

    private static List<WorkflowEffect.Stop> stops(LeaderFixture leader) {
        return leader.effects.stream()
                .filter(WorkflowEffect.Stop.class::isInstance)
                .map(WorkflowEffect.Stop.class::cast)
                .toList();
    }

    private void answerStops(LeaderFixture leader, CommandOutcome outcome) {
        List<WorkflowEffect.Stop> stops = stops(leader);
        for (; answeredStopCount < stops.size(); answeredStopCount++) {
            WorkflowEffect.Stop stop = stops.get(answeredStopCount);
            leader.post(
                    new WorkflowEvent.CommandCompleted(
                            leader.now(), stop.leaderFence(), stop.command(), outcome));
        }
    }

    /** Answers the starts on worker {@code a} that followed the first one. */
    private void answerFurtherStarts(LeaderFixture leader, CommandOutcome outcome) {
        List<WorkflowEffect.Start> starts = leader.starts();
        for (; answeredStartCount < starts.size(); answeredStartCount++) {
            WorkflowEffect.Start start = starts.get(answeredStartCount);
            if (start.worker().id().equals("a")) {
                leader.completeStart(start, outcome);
            }
        }
    }

    /**
     * Advances the time until a second start is sent, {@code millis} at most, while worker {@code
     * a} does what {@code answers} says.
     */
    private static void awaitSecondStart(LeaderFixture leader, long millis, Runnable answers) {
        for (long end = leader.now() + millis; leader.now() < end && leader.starts().size() < 2; ) {
            leader.advance(100);
            answers.run();
            leader.storeAll();
        }
        assertEquals(
                leader.starts().size(),
                2,
                "no second start; charges " + charges(leader) + ", " + leader.state().jobs());
    }

    private static List<Map.Entry<TaskKey, WorkerNode.Charge>> charges(LeaderFixture leader) {
        List<Map.Entry<TaskKey, WorkerNode.Charge>> charges = new ArrayList<>();
        leader.state().workers().values().forEach(w -> charges.addAll(w.charges().entrySet()));
        return charges;
    }

    private static void assertOnlyNewestRunIsCharged(LeaderFixture leader) {
        assertEquals(charges(leader).size(), 1, "charges " + charges(leader));
        assertEquals(charges(leader).get(0).getValue().runNumber(), 2);
    }

    @DataProvider
    public Object[][] startOutcomes() {
        List<Object[]> cases = new ArrayList<>();
        for (CommandOutcome outcome : CommandOutcome.values()) {
            for (boolean afterRestart : new boolean[] {false, true}) {
                for (boolean isGang : new boolean[] {false, true}) {
                    cases.add(new Object[] {outcome, afterRestart, isGang});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /**
     * Guards against a charge that stays for good, because the worker has restarted before or after
     * the outcome of the start command and knows nothing of the run.
     */
    @Test(dataProvider = "startOutcomes")
    public void taskStartsAgainAfterRestartOfItsWorker(
            CommandOutcome outcome, boolean afterRestart, boolean isGang) {
        answeredStopCount = 0;
        LeaderFixture leader = started(isGang);
        WorkflowEffect.Start start = leader.starts().get(0);
        if (!afterRestart) {
            leader.completeStart(start, outcome);
        }
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
        leader.advance(500);
        answer(leader, "a", LATER);
        if (afterRestart) {
            leader.completeStart(start, outcome);
        }
        awaitSecondStart(
                leader,
                RESTART_MILLIS,
                () -> {
                    answerStops(leader, CommandOutcome.OK);
                    answer(leader, "a", LATER);
                });
        assertOnlyNewestRunIsCharged(leader);
    }

    /**
     * Guards against a charge that stays for good, because the outcome of the start command never
     * arrives and the worker reports no such run.
     */
    @Test
    public void taskStartsAgainAfterOutcomeOfItsStartWasLost() {
        answeredStopCount = 0;
        LeaderFixture leader = started(false);
        awaitSecondStart(
                leader,
                LEASE_END_MILLIS,
                () -> {
                    answerStops(leader, CommandOutcome.OK);
                    answer(leader, "a", EARLIER);
                });
        assertOnlyNewestRunIsCharged(leader);
    }

    /** Returns a worker list in which worker {@code a} has another address. */
    private static WorkflowEvent moved(LeaderFixture leader) {
        WorkerNode.Listing old = LeaderFixture.worker("a");
        WorkerNode.Listing moved =
                new WorkerNode.Listing(
                        old.id(),
                        old.service(),
                        "other:2",
                        old.zone(),
                        old.draining(),
                        old.capacity(),
                        old.labels(),
                        old.rack(),
                        old.born());
        return new WorkflowEvent.WorkersListed(leader.now(), HashTreePMap.singleton("a", moved));
    }

    @DataProvider
    public Object[][] renewalFailures() {
        return new Object[][] {
            {CommandOutcome.UNKNOWN}, {CommandOutcome.NOT_SENT}, {CommandOutcome.OTHER_WORKER}
        };
    }

    /** Guards against a run that stays charged to a worker that has moved to another address. */
    @Test(dataProvider = "renewalFailures")
    public void taskStartsAgainAfterItsWorkerHasMoved(CommandOutcome failureAtOldAddress) {
        LeaderFixture leader = started(false);
        leader.confirmStarts();
        leader.advance(100);
        leader.post(moved(leader));
        leader.failLeaseRenewal("a", failureAtOldAddress);
        awaitSecondStart(leader, RESTART_MILLIS, () -> answer(leader, "a", LATER));
        assertEquals(leader.starts().get(1).worker().address(), "other:2");
        assertOnlyNewestRunIsCharged(leader);
    }

    /**
     * Guards against two active runs of a task: another worker at the address that the task's
     * worker had before answers a renewal after the task was started at the new address.
     */
    @Test
    public void runAtNewAddressStaysChargedAfterLateAnswerOfOldAddress() {
        LeaderFixture leader = started(false);
        leader.completeStart(leader.starts().get(0), CommandOutcome.NO_ROOM);
        assertTrue(leader.state().workers().get("a").contact().renewalInFlight());
        leader.post(moved(leader));
        leader.advance(1_100);
        assertEquals(leader.starts().size(), 2);
        assertEquals(leader.starts().get(1).worker().address(), "other:2");
        leader.completeStart(leader.starts().get(1), CommandOutcome.OK);
        leader.failLeaseRenewal("a", CommandOutcome.OTHER_WORKER);
        leader.advance(400);
        assertEquals(leader.starts().size(), 2, "started again while run 2 is active");
        assertOnlyNewestRunIsCharged(leader);
    }

    @DataProvider
    public Object[][] failuresOfReplacedWorker() {
        return new Object[][] {
            {CommandOutcome.OK, CommandOutcome.OTHER_WORKER, true},
            {CommandOutcome.OK, CommandOutcome.OTHER_WORKER, false},
            {CommandOutcome.UNKNOWN, CommandOutcome.OTHER_WORKER, true},
            {CommandOutcome.UNKNOWN, CommandOutcome.OTHER_WORKER, false},
            {CommandOutcome.UNKNOWN, CommandOutcome.UNKNOWN, true},
            {CommandOutcome.UNKNOWN, CommandOutcome.UNKNOWN, false},
        };
    }

    /**
     * Guards against a task that waits for good for the end of a run whose stop command is never
     * confirmed, because another worker has the address of the task's worker.
     */
    @Test(dataProvider = "failuresOfReplacedWorker")
    public void taskStartsElsewhereAfterItsWorkerWasReplaced(
            CommandOutcome start, CommandOutcome renewal, boolean stillListed) {
        answeredStopCount = 0;
        answeredStartCount = 1;
        LeaderFixture leader = started(false);
        leader.completeStart(leader.starts().get(0), start);
        leader.listWorkers(stillListed ? new String[] {"a", "b"} : new String[] {"b"});
        long maxMillis = renewal == CommandOutcome.OTHER_WORKER ? RESTART_MILLIS : LEASE_END_MILLIS;
        for (long end = leader.now() + maxMillis;
                leader.now() < end && !leader.startedWorkers().contains("b"); ) {
            leader.advance(100);
            answerStops(leader, CommandOutcome.OTHER_WORKER);
            answerFurtherStarts(leader, CommandOutcome.OTHER_WORKER);
            leader.failLeaseRenewal("a", renewal);
            answer(leader, "b", EARLIER);
            leader.storeAll();
        }
        assertTrue(
                leader.startedWorkers().contains("b"),
                "not started on b; charges " + charges(leader));
        assertEquals(charges(leader).size(), 1, "charges " + charges(leader));
    }

    /**
     * Guards against a commit that was sent before a restart of a worker and acknowledges
     * completions of the new incarnation, which are numbered anew and are not processed yet.
     */
    @Test
    public void commitOfEarlierIncarnationAcknowledgesNothingOfLaterOne() {
        LeaderFixture leader = started(false);
        leader.confirmStarts();
        leader.submit("other", LeaderFixture.job(4));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
        assertEquals(leader.starts().size(), 2);
        answer(leader, "a", EARLIER, new EndedRun(9, TASK, 1, RunOutcome.DONE, ""));
        leader.advance(60);
        assertTrue(leader.state().commitQueue().inFlight().isPresent(), "no commit in flight");
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
        leader.advance(400);
        answer(leader, "a", LATER);
        leader.storeNext();
        leader.advance(100);
        answer(leader, "a", LATER);
        leader.advance(600);
        WorkflowEffect.RenewLease renewal = newestRenewal(leader);
        assertEquals(renewal.acknowledged(), 0);
        TaskKey other = new TaskKey("other", 0, 0, 0);
        answer(leader, "a", LATER, new EndedRun(1, other, 1, RunOutcome.DONE, ""));
        leader.advance(100);
        leader.storeAll();
        assertEquals(
                leader.state().finished().get("other").status(), Job.Status.DONE, "an end is lost");
    }

    private static WorkflowEffect.RenewLease newestRenewal(LeaderFixture leader) {
        Optional<WorkflowEffect.RenewLease> newest =
                leader.effects.stream()
                        .filter(WorkflowEffect.RenewLease.class::isInstance)
                        .map(WorkflowEffect.RenewLease.class::cast)
                        .reduce((first, second) -> second);
        return newest.orElseThrow();
    }
}
