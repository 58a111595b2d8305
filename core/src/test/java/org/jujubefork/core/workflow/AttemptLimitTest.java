package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a start of a task or gang whose failed runs have reached the limit of its queue,
 * because the limit was not known, or was higher, when the last of them failed.
 */
public final class AttemptLimitTest {
    private static final String JOB = "j";
    private static final StepKey STEP = new StepKey(JOB, 0, 0);
    private static final int ATTEMPTS = 3;

    /** Many workers, because one that fails several runs in a row gets no tasks for a while. */
    private static final String[] WORKERS = {"a", "b", "c", "d", "e", "f", "g", "h"};

    /** Time within which a task starts that may start and has a free worker. */
    private static final long START_MILLIS = 400;

    @DataProvider
    static Object[][] kinds() {
        return new Object[][] {{false}, {true}};
    }

    private static CellConfiguration withoutQueue(long version) {
        return configuration(version, List.of());
    }

    private static CellConfiguration withQueue(long version, int attempts) {
        return withQueue(version, attempts, Optional.empty());
    }

    private static CellConfiguration withQueue(
            long version, int attempts, Optional<AdviceSettings> advice) {
        Queue queue =
                new Queue(
                        LeaderFixture.QUEUE,
                        "h",
                        "/q/",
                        LeaderFixture.SERVICE,
                        0,
                        attempts,
                        3_000,
                        2,
                        400,
                        true,
                        advice);
        return configuration(version, List.of(queue));
    }

    private static CellConfiguration configuration(long version, List<Queue> queues) {
        return new CellConfiguration(
                version,
                queues,
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(
                        new CellConfiguration.Team(
                                LeaderFixture.TEAM, List.of(), 50, Resources.ZERO)),
                100_000);
    }

    /** Returns a leader that has read {@code jobs} from the store and knows all runs. */
    private static LeaderFixture leading(CellConfiguration configuration, List<Job> jobs) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(jobs, List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(WORKERS);
        advance(leader, 200);
        return leader;
    }

    private static LeaderFixture withJob(WorkflowDefinition definition) {
        LeaderFixture leader = leading(withQueue(1, ATTEMPTS), List.of());
        leader.submit(JOB, definition);
        advance(leader, START_MILLIS);
        return leader;
    }

    /** Advances the time while all workers and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            for (String worker : WORKERS) {
                leader.answerLeaseRenewal(worker);
            }
            leader.storeAll();
        }
    }

    private static void configure(LeaderFixture leader, CellConfiguration configuration) {
        leader.post(
                new WorkflowEvent.ConfigurationRead(
                        leader.now(), leader.now(), Optional.of(configuration)));
    }

    private static WorkflowDefinition definition(boolean isGang) {
        return LeaderFixture.job(isGang ? 2 : 1, 10, isGang);
    }

    private static Set<Long> startedRuns(LeaderFixture leader) {
        Set<Long> runs = new HashSet<>();
        leader.starts().forEach(s -> runs.add(s.command().runNumber()));
        return runs;
    }

    private static boolean isStoredAsFailed(LeaderFixture leader) {
        FinishedJob finished = leader.state().finished().get(JOB);
        return finished != null && finished.status() == Job.Status.FAILED;
    }

    /** Reports that the newest run has ended in {@code outcome}; of a gang, all its members. */
    private static void end(LeaderFixture leader, RunOutcome outcome) {
        long newestRun = Collections.max(startedRuns(leader));
        for (WorkflowEffect.Start start : leader.starts()) {
            if (start.command().runNumber() == newestRun) {
                String worker = start.worker().id();
                TaskKey task = start.command().task();
                assertTrue(
                        leader.state().workers().get(worker).charges().containsKey(task),
                        "nothing was started after run " + newestRun);
                leader.completeStart(start, CommandOutcome.OK);
                report(leader, worker, new EndedRun(newestRun, task, newestRun, outcome, ""));
            }
        }
        leader.storeAll();
    }

    /** Reports {@code endedRun} with the answer to the next lease renewal of {@code worker}. */
    private static void report(LeaderFixture leader, String worker, EndedRun endedRun) {
        long end = leader.now() + START_MILLIS;
        while (leader.state().workers().get(worker).charges().containsKey(endedRun.task())) {
            assertTrue(leader.now() < end, "no lease renewal was sent to " + worker);
            leader.advance(20);
            leader.answerLeaseRenewal(worker, List.of(), List.of(endedRun));
        }
    }

    private static void failAndRestart(LeaderFixture leader, int count) {
        for (int i = 0; i < count; i++) {
            end(leader, RunOutcome.FAILED);
            advance(leader, START_MILLIS);
        }
    }

    /** Guards against a further start after the queue was missing when the last run failed. */
    @Test(dataProvider = "kinds")
    public void jobFailsWhenItsQueueIsRestored(boolean isGang) {
        LeaderFixture leader = withJob(definition(isGang));
        failAndRestart(leader, ATTEMPTS - 1);
        configure(leader, withoutQueue(2));
        end(leader, RunOutcome.FAILED);
        advance(leader, START_MILLIS);
        configure(leader, withQueue(3, ATTEMPTS));
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader).size(), ATTEMPTS, "started after all attempts");
        assertTrue(isStoredAsFailed(leader), "the job has not failed");
    }

    /** Guards against a job that is failed for a limit that is not in force any more. */
    @Test(dataProvider = "kinds")
    public void jobRunsWhenItsQueueIsRestoredWithHigherLimit(boolean isGang) {
        LeaderFixture leader = withJob(definition(isGang));
        failAndRestart(leader, ATTEMPTS - 1);
        configure(leader, withoutQueue(2));
        end(leader, RunOutcome.FAILED);
        advance(leader, START_MILLIS);
        configure(leader, withQueue(3, ATTEMPTS + 1));
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader).size(), ATTEMPTS + 1);
        end(leader, RunOutcome.DONE);
        advance(leader, START_MILLIS);
        assertEquals(leader.state().finished().get(JOB).status(), Job.Status.DONE);
    }

    /** Guards against a further start by a leader that has read the failed runs from the store. */
    @Test(dataProvider = "kinds")
    public void jobFailsAfterTakeover(boolean isGang) {
        LeaderFixture leader =
                leading(withoutQueue(1), List.of(withFailedRuns(definition(isGang), ATTEMPTS)));
        advance(leader, START_MILLIS);
        configure(leader, withQueue(2, ATTEMPTS));
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader), Set.of(), "started after all attempts");
        assertTrue(isStoredAsFailed(leader), "the job has not failed");
    }

    /** Guards against a job that a takeover ends, although it has an attempt left. */
    @Test(dataProvider = "kinds")
    public void jobWithAttemptsLeftRunsAfterTakeover(boolean isGang) {
        LeaderFixture leader =
                leading(
                        withQueue(1, ATTEMPTS),
                        List.of(withFailedRuns(definition(isGang), ATTEMPTS - 1)));
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader).size(), 1);
    }

    /** Guards against a start beyond a limit that was lowered while the last run was active. */
    @Test(dataProvider = "kinds")
    public void interruptedRunIsNotRepeatedBeyondLoweredLimit(boolean isGang) {
        LeaderFixture leader = withJob(definition(isGang));
        failAndRestart(leader, ATTEMPTS - 1);
        configure(leader, withQueue(2, ATTEMPTS - 1));
        advance(leader, START_MILLIS);
        assertTrue(leader.state().jobs().get(JOB).isActive(), "its run is still active");
        end(leader, RunOutcome.BROKEN);
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader).size(), ATTEMPTS, "started beyond the lowered limit");
        assertTrue(isStoredAsFailed(leader), "the job has not failed");
    }

    /**
     * Guards against a job that fails because of the lower limit, although its last run is done.
     */
    @Test(dataProvider = "kinds")
    public void activeRunMayCompleteAfterLimitWasLowered(boolean isGang) {
        LeaderFixture leader = withJob(definition(isGang));
        failAndRestart(leader, ATTEMPTS - 1);
        configure(leader, withQueue(2, ATTEMPTS - 1));
        end(leader, RunOutcome.DONE);
        advance(leader, START_MILLIS);
        assertEquals(leader.state().finished().get(JOB).status(), Job.Status.DONE);
    }

    /** Guards against a start after a limit was lowered during the wait for a ticket. */
    @Test(dataProvider = "kinds")
    public void assignedTaskDoesNotStartBeyondLoweredLimit(boolean isGang) {
        Optional<AdviceSettings> advice = Optional.of(new AdviceSettings(10, 1, 2_000));
        LeaderFixture leader =
                leading(
                        withQueue(1, ATTEMPTS, advice),
                        List.of(withFailedRuns(definition(isGang), ATTEMPTS - 1)));
        advance(leader, START_MILLIS);
        leader.takeAdviceRequests().forEach(leader::grantAdvice);
        advance(leader, START_MILLIS);
        List.copyOf(leader.starts())
                .forEach(s -> leader.completeStart(s, CommandOutcome.NO_TICKET));
        advance(leader, START_MILLIS);
        List<WorkflowEffect.RequestAdvice> renewals = leader.takeAdviceRequests();
        assertEquals(renewals.size(), 1, "no renewal of the rejected tickets");
        assertEquals(startedRuns(leader).size(), 1);
        configure(leader, withQueue(2, ATTEMPTS - 1, advice));
        leader.grantAdvice(renewals.getFirst());
        advance(leader, START_MILLIS);
        assertEquals(startedRuns(leader).size(), 1, "started beyond the lowered limit");
        assertTrue(isStoredAsFailed(leader), "the job has not failed");
    }

    private static Job withFailedRuns(WorkflowDefinition definition, int count) {
        Job job = LeaderFixture.acceptedJob(JOB, definition, 0).withOccurrence(0);
        FailedRuns failedRuns = FailedRuns.NONE;
        for (int run = 1; run <= count; run++) {
            failedRuns = failedRuns.withRun(run);
        }
        if (job.step(STEP).gang()) {
            job = job.with(STEP, job.progress(STEP).withGangFailedRuns(failedRuns));
        }
        return job.with(STEP.task(0), Task.NEW.asWaiting(failedRuns, ""));
    }
}
