package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a number of waiting jobs that lacks jobs of which no task has run, and against one
 * that includes jobs of which a task may have run.
 */
public final class WaitingCountTest {
    /** Time after which no lease of a worker that does not answer is valid any more. */
    private static final long LEASE_END_MILLIS = 12_000;

    private static final String JOB = "j";
    private static final TaskKey FIRST_TASK = new StepKey(JOB, 0, 0).task(0);
    private static final WorkflowDefinition SINGLE_TASK = LeaderFixture.job(1, 10, false);

    @DataProvider
    static Object[][] rejections() {
        return new Object[][] {
            {CommandOutcome.UNHEALTHY},
            {CommandOutcome.NO_ROOM},
            {CommandOutcome.NOT_SENT},
            {CommandOutcome.LATE},
            {CommandOutcome.OTHER_WORKER}
        };
    }

    private static LeaderFixture leading(List<Job> jobs) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(jobs, List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a", "b");
        advance(leader, 200);
        return leader;
    }

    /** Returns a leader that has sent the starts of the tasks of {@code definition}. */
    private static LeaderFixture starting(WorkflowDefinition definition) {
        LeaderFixture leader = leading(List.of());
        leader.submit(JOB, definition);
        advance(leader, 200);
        assertEquals(leader.starts().size(), definition.steps().getFirst().taskCount());
        return leader;
    }

    /** Advances the time while all workers and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerLeaseRenewal("a");
            leader.answerLeaseRenewal("b");
            leader.storeAll();
        }
    }

    private static int waitingJobs(LeaderFixture leader) {
        return waitingJobs(leader.state());
    }

    private static int waitingJobs(WorkflowState state) {
        WorkflowTransition counted =
                WorkflowReducer.reduce(
                        state,
                        new WorkflowEvent.CallArrived(
                                state.now(),
                                1_000,
                                new WorkflowEvent.Call.Count(LeaderFixture.QUEUE)));
        return counted.effects().stream()
                .filter(WorkflowEffect.Answer.class::isInstance)
                .map(e -> ((WorkflowEffect.Answer) e).reply())
                .map(r -> ((WorkflowEffect.Reply.WaitingJobs) r).count())
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a job that waits uncounted because workers have rejected its starts. */
    @Test(dataProvider = "rejections")
    public void jobWhoseStartWasRejectedIsCounted(CommandOutcome rejection) {
        LeaderFixture leader = starting(SINGLE_TASK);
        assertEquals(waitingJobs(leader), 0, "its start may be carried out");
        leader.completeStart(leader.starts().getFirst(), rejection);
        assertEquals(waitingJobs(leader), 1);
    }

    /** Guards against a gang that waits uncounted because a worker has rejected its member. */
    @Test
    public void gangWhoseStartsWereRejectedIsCounted() {
        LeaderFixture leader = starting(LeaderFixture.job(2, 10, true));
        List.copyOf(leader.starts())
                .forEach(s -> leader.completeStart(s, CommandOutcome.UNHEALTHY));
        assertEquals(waitingJobs(leader), 1);
    }

    /** Guards against a job that waits uncounted because its worker left before its start. */
    @Test
    public void jobThatWasAssignedOnlyIsCounted() {
        Job job = LeaderFixture.acceptedJob(JOB, SINGLE_TASK, 0).withOccurrence(0);
        WorkflowState state = withoutWorkers(job).state();
        WorkflowState assigned =
                state.with(job.with(FIRST_TASK, job.task(FIRST_TASK).assignedTo("gone", 1)));
        assertEquals(waitingJobs(assigned), 1, "assigned");
        WorkflowState released = Placement.unassign(assigned, FIRST_TASK.stepKey()).state();
        assertEquals(released.jobs().get(JOB).task(FIRST_TASK).phase(), Task.Phase.WAITING);
        assertEquals(waitingJobs(released), 1, "released");
    }

    /** Guards against a job that counts as waiting although a member of its gang was at work. */
    @Test
    public void gangOfWhichOneMemberHasRunIsNotCounted() {
        LeaderFixture leader = starting(LeaderFixture.job(2, 10, true));
        leader.completeStart(leader.starts().get(0), CommandOutcome.OK);
        leader.completeStart(leader.starts().get(1), CommandOutcome.UNHEALTHY);
        assertEquals(waitingJobs(leader), 0);
    }

    /** Guards against a job that counts as waiting again after its run was interrupted. */
    @Test
    public void jobWhoseRunWasInterruptedIsNotCounted() {
        LeaderFixture leader = starting(SINGLE_TASK);
        WorkflowEffect.Start start = leader.starts().getFirst();
        leader.completeStart(start, CommandOutcome.OK);
        leader.advance(200);
        leader.answerLeaseRenewal(
                start.worker().id(),
                List.of(),
                List.of(new EndedRun(1, FIRST_TASK, 1, RunOutcome.BROKEN, "")));
        assertEquals(leader.state().jobs().get(JOB).task(FIRST_TASK).phase(), Task.Phase.WAITING);
        assertEquals(waitingJobs(leader), 0);
    }

    /** Guards against a job that counts as waiting although its worker has ended its run. */
    @Test
    public void jobWhoseRunIsOldIsNotCounted() {
        LeaderFixture leader = starting(SINGLE_TASK);
        leader.completeStart(leader.starts().getFirst(), CommandOutcome.OLD);
        assertEquals(waitingJobs(leader), 0);
    }

    /** Guards against a job that counts as waiting although a start without answer may have run. */
    @Test
    public void jobWhoseStartMayHaveRunIsNotCounted() {
        LeaderFixture leader = starting(SINGLE_TASK);
        WorkflowEffect.Start start = leader.starts().getFirst();
        leader.completeStart(start, CommandOutcome.UNKNOWN);
        assertEquals(waitingJobs(leader), 0);
        for (long end = leader.now() + LEASE_END_MILLIS; leader.now() < end; ) {
            leader.advance(100);
            leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
            leader.failLeaseRenewal("b", CommandOutcome.UNKNOWN);
        }
        assertTrue(
                leader.state().workers().values().stream().allMatch(w -> w.charges().isEmpty()),
                "its run is not lost");
        assertEquals(waitingJobs(leader), 0);
    }

    /** Guards against a job whose run has failed that counts as waiting after a takeover. */
    @Test
    public void jobWithFailedRunIsNotCountedAfterTakeover() {
        Job job = LeaderFixture.acceptedJob(JOB, SINGLE_TASK, 0).withOccurrence(0);
        Task failed = Task.NEW.asWaiting(FailedRuns.NONE.withRun(1), "");
        assertEquals(waitingJobs(withoutWorkers(job.with(FIRST_TASK, failed))), 0);
    }

    /** Guards against a job without a known run that is not counted after a takeover. */
    @Test
    public void jobWithoutKnownRunIsCountedAfterTakeover() {
        Job job = LeaderFixture.acceptedJob(JOB, SINGLE_TASK, 0).withOccurrence(0);
        assertEquals(waitingJobs(withoutWorkers(job)), 1);
    }

    private static LeaderFixture withoutWorkers(Job job) {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(List.of(job), List.of(), List.of(), SilentWorkers.NONE));
    }
}
