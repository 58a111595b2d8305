package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.jujubefork.core.workflow.WorkflowEffect.Entry;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.testng.annotations.Test;

/**
 * Guards against a task that runs again after it has completed: its worker lists only the first of
 * its completions until these are acknowledged, and the leader takes a run that is in no list for
 * lost or never started.
 */
public final class PartialCompletionListTest {
    private static final String JOB = "j";
    private static final int TASK_COUNT = 4;

    /** Number of completions that the worker of these tests lists at a time. */
    private static final int LISTED_COUNT = 2;

    private static EndedRun done(int index) {
        return new EndedRun(index + 1, task(index), 1, RunOutcome.DONE, "");
    }

    private static TaskKey task(int index) {
        return new TaskKey(JOB, 0, 0, index);
    }

    /** Returns the completions from task {@code first} on that the worker lists at a time. */
    private static List<EndedRun> page(int first) {
        return IntStream.range(first, first + LISTED_COUNT)
                .mapToObj(PartialCompletionListTest::done)
                .toList();
    }

    /** Returns a leader that runs all tasks of a job on worker {@code a}. */
    private static LeaderFixture running() {
        LeaderFixture leader = leading(List.of(), List.of(), SilentWorkers.NONE);
        leader.listWorkers("a");
        leader.advance(100);
        leader.answerLeaseRenewal("a");
        leader.storeAll();
        leader.submit(JOB, LeaderFixture.job(TASK_COUNT, 2, false));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
        assertEquals(leader.starts().size(), TASK_COUNT);
        leader.confirmStarts();
        leader.advance(400);
        return leader;
    }

    private static LeaderFixture leading(
            List<Job> jobs, List<WorkerNode.Listing> fleet, SilentWorkers silentWorkers) {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(jobs, List.of(), fleet, silentWorkers));
    }

    /** Returns a leader that has taken over while the tasks of a job have run on {@code a}. */
    private static LeaderFixture takenOver() {
        Job job = LeaderFixture.acceptedJob(JOB, LeaderFixture.job(TASK_COUNT, 2, false), 99_000);
        LeaderFixture leader =
                leading(List.of(job), List.of(LeaderFixture.worker("a")), SilentWorkers.NONE);
        leader.listWorkers("a");
        leader.advance(100);
        return leader;
    }

    private static void answer(LeaderFixture leader, int first, boolean allListed) {
        leader.answerLeaseRenewal("a", List.of(), page(first), allListed);
        leader.advance(100);
    }

    private static boolean isDone(LeaderFixture leader) {
        FinishedJob finished = leader.state().finished().get(JOB);
        return finished != null && finished.status() == Job.Status.DONE;
    }

    @Test
    public void runWithUnlistedCompletionIsNotStartedAgain() {
        LeaderFixture leader = running();
        // The store does not answer, so the worker lists the same completions again.
        for (int i = 0; i < 5; i++) {
            answer(leader, 0, false);
            leader.advance(400);
        }
        assertEquals(leader.starts().size(), TASK_COUNT, "a task runs again");
        leader.storeAll();
        leader.advance(100);
        answer(leader, LISTED_COUNT, true);
        leader.storeAll();
        assertTrue(isDone(leader), "the job is not done");
        assertEquals(leader.starts().size(), TASK_COUNT, "a task runs again");
    }

    /** Unlisted runs keep their capacity; what is left of the worker stays open for others. */
    @Test
    public void workerStaysOpenForOtherTasksWhileCompletionsAreUnlisted() {
        LeaderFixture leader = running();
        leader.submit("other", LeaderFixture.job(1, 12, false));
        leader.submit("large", LeaderFixture.job(1, 16, false));
        leader.advance(100);
        leader.storeAll();
        answer(leader, 0, false);
        assertEquals(
                leader.state().workers().get("a").charges().keySet().stream()
                        .filter(t -> t.job().equals(JOB))
                        .count(),
                TASK_COUNT - LISTED_COUNT);
        leader.advance(500);
        List<String> startedJobs =
                leader.starts().stream().map(s -> s.command().task().job()).distinct().toList();
        assertEquals(startedJobs, List.of(JOB, "other"));
    }

    @Test
    public void newLeaderStartsNoTaskBeforeAllCompletionsAreListed() {
        LeaderFixture leader = takenOver();
        answer(leader, 0, false);
        leader.advance(500);
        assertEquals(leader.starts().size(), 0, "a completed task runs again");
        leader.storeAll();
        leader.advance(100);
        answer(leader, LISTED_COUNT, true);
        leader.storeAll();
        assertTrue(isDone(leader), "the job is not done");
        assertEquals(leader.starts().size(), 0, "a completed task runs again");
    }

    /** A new leader reads the next completions as soon as the first ones are stored. */
    @Test
    public void newLeaderAsksForNextCompletionsOnceFirstAreStored() {
        LeaderFixture leader = takenOver();
        answer(leader, 0, false);
        int count = leader.leaseRenewals("a").size();
        leader.storeAll();
        List<WorkflowEffect.RenewLease> renewals = leader.leaseRenewals("a");
        assertEquals(renewals.size(), count + 1, "no renewal at once");
        assertEquals(renewals.getLast().acknowledged(), LISTED_COUNT);
    }

    @Test
    public void newLeaderStartsTasksOnceAllCompletionsAreListed() {
        LeaderFixture leader = takenOver();
        answer(leader, 0, false);
        leader.storeAll();
        leader.advance(100);
        leader.answerLeaseRenewal("a");
        leader.advance(200);
        leader.storeAll();
        leader.advance(200);
        assertEquals(
                leader.starts().stream().map(s -> s.command().task()).toList(),
                List.of(task(2), task(3)));
    }

    /**
     * Runs on the worker are known once it lists them, whatever it leaves out of the other list.
     */
    @Test
    public void teamUsageIsKnownThoughCompletionsAreUnlisted() {
        LeaderFixture leader = takenOver();
        RunningRun active = new RunningRun(task(3), 1, "", 100);
        leader.answerLeaseRenewal("a", List.of(active), page(0), false);
        WorkerNode node = leader.state().workers().get("a");
        assertEquals(node.charges().keySet().size(), 1);
        assertTrue(node.maxUnknownUsage(leader.now()).isZero());
        assertFalse(Fleet.isRecovered(leader.state()));
    }

    /** The next leader starts the tasks again whose runs the record of silent workers lacks. */
    @Test
    public void silentWorkerIsNotRecordedBeforeAllItsCompletionsAreListed() {
        LeaderFixture leader = takenOver();
        answer(leader, 0, false);
        leader.storeAll();
        for (int i = 0; i < 20; i++) {
            leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
            leader.advance(100);
            leader.storeAll();
        }
        assertTrue(leader.state().workers().get("a").isSilent(leader.now()));
        List<Entry> recorded =
                leader.committedEntries().stream()
                        .filter(Entry.PutSilentWorkers.class::isInstance)
                        .toList();
        assertEquals(recorded, List.of());
    }

    /** A completion before the end of the leases does not count, so nothing waits for it. */
    @Test
    public void workerWhoseLeasesHaveEndedHoldsBackNothing() {
        LeaderFixture leader = takenOver();
        for (int i = 0; i < 110; i++) {
            leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
            leader.advance(100);
        }
        answer(leader, 0, false);
        assertTrue(Fleet.isRecovered(leader.state()));
    }

    /** A recorded run stays charged until the worker lists its completion. */
    @Test
    public void recordedRunStaysChargedWhileCompletionsAreUnlisted() {
        SilentWorkers record = new SilentWorkers(1, recordedRuns());
        Job job = LeaderFixture.acceptedJob(JOB, LeaderFixture.job(TASK_COUNT, 2, false), 99_000);
        LeaderFixture leader = leading(List.of(job), List.of(LeaderFixture.worker("a")), record);
        leader.listWorkers("a");
        leader.advance(100);
        answer(leader, 0, false);
        leader.advance(500);
        assertEquals(
                leader.state().workers().get("a").charges().keySet().size(),
                TASK_COUNT - LISTED_COUNT);
        assertEquals(leader.starts().size(), 0, "a recorded run is started again");
    }

    private static PMap<String, PMap<TaskKey, Long>> recordedRuns() {
        PMap<TaskKey, Long> runs = HashTreePMap.empty();
        for (int i = 0; i < TASK_COUNT; i++) {
            runs = runs.plus(task(i), 1L);
        }
        return HashTreePMap.singleton("a", runs);
    }
}
