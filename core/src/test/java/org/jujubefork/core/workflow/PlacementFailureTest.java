package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/**
 * Guards against a placement pass that ends at one job that cannot be handled. The control loop
 * keeps its state after an error, so each pass would end there and no job would start any more.
 * These states are made by hand; no sequence of events is known that leads to them.
 */
public final class PlacementFailureTest {
    /** Returns the state of a leader with two free workers and two jobs that wait for a pass. */
    private static WorkflowState stateWithJobs() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a", "b");
        leader.advance(100);
        leader.answerLeaseRenewal("a");
        leader.answerLeaseRenewal("b");
        leader.advance(100);
        leader.storeAll();
        return leader.state().with(job("broken", leader.now())).with(job("sound", leader.now()));
    }

    private static Job job(String id, long at) {
        return Schedules.withDueOccurrences(
                LeaderFixture.acceptedJob(id, LeaderFixture.job(2, 2, false), at),
                LeaderFixture.wallMillis(at));
    }

    private static List<WorkflowEffect.Start> starts(WorkflowTransition transition) {
        return transition.effects().stream()
                .filter(WorkflowEffect.Start.class::isInstance)
                .map(WorkflowEffect.Start.class::cast)
                .toList();
    }

    private static Set<String> jobs(List<WorkflowEffect.Start> starts) {
        return starts.stream().map(s -> s.command().task().job()).collect(Collectors.toSet());
    }

    /** Guards against a job with fewer tasks than its definition that stops the pass. */
    @Test
    public void passGoesOnAfterJobThatCannotBePlaced() {
        WorkflowState state = stateWithJobs();
        StepKey step = new StepKey("broken", 0, 0);
        Job job = state.jobs().get("broken");
        StepProgress progress = job.progress(step);
        StepProgress withoutTasks =
                new StepProgress(
                        TreePVector.empty(),
                        progress.waitingCount(),
                        0,
                        0,
                        FailedRuns.NONE,
                        -1,
                        progress.advice());
        WorkflowTransition result = Placement.run(state.with(job.with(step, withoutTasks)));
        assertEquals(jobs(starts(result)), Set.of("sound"));
        assertTrue(
                result.effects().stream()
                        .anyMatch(
                                e ->
                                        e instanceof WorkflowEffect.LogEvent line
                                                && line.event().equals("placement-failure")
                                                && line.subject().equals(step.toString())),
                "the failure is not logged: " + result.effects());
    }

    /**
     * Guards against a job that cannot be handled and floods the log: passes run many times a
     * second, and lines beyond the capacity of the log are dropped.
     */
    @Test
    public void failureIsLoggedOncePerSecond() {
        WorkflowState state = stateWithJobs();
        StepKey step = new StepKey("broken", 0, 0);
        Job job = state.jobs().get("broken");
        StepProgress withoutTasks =
                new StepProgress(
                        TreePVector.empty(),
                        2,
                        0,
                        0,
                        FailedRuns.NONE,
                        -1,
                        job.progress(step).advice());
        state = state.with(job.with(step, withoutTasks));
        long lines = 0;
        for (int i = 0; i < 20; i++) {
            WorkflowTransition pass = Placement.run(state.withTime(state.now() + 100));
            state = pass.state();
            lines += failures(pass).size();
        }
        assertEquals(lines, 2, "lines in 2 s");
    }

    private static List<WorkflowEffect.LogEvent> failures(WorkflowTransition transition) {
        return transition.effects().stream()
                .filter(WorkflowEffect.LogEvent.class::isInstance)
                .map(WorkflowEffect.LogEvent.class::cast)
                .filter(line -> line.event().equals("placement-failure"))
                .toList();
    }

    /** Guards against a task whose worker is gone, which stops the pass and never starts itself. */
    @Test
    public void taskWithoutWorkerIsPlacedAgain() {
        WorkflowState state = stateWithJobs();
        TaskKey task = new TaskKey("broken", 0, 0, 0);
        Job job = state.jobs().get("broken");
        Task assigned = job.task(task).assignedTo("gone", 1);
        WorkflowTransition result = Placement.run(state.with(job.with(task, assigned)));
        assertEquals(jobs(starts(result)), Set.of("broken", "sound"));
        assertEquals(starts(result).size(), 4);
    }
}
