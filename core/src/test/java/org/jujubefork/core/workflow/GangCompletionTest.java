package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.testng.annotations.Test;

/**
 * Guards against stopping a gang member that is about to end, and against releasing its capacity
 * too early. The members of a gang end together, but their workers report the completions one after
 * the other.
 */
public final class GangCompletionTest {
    private static final TaskKey FIRST_MEMBER = new StepKey("g", 0, 0).task(0);
    private static final TaskKey SECOND_MEMBER = new StepKey("g", 0, 0).task(1);

    private static boolean wasStopSent(LeaderFixture leader) {
        return leader.effects.stream().anyMatch(WorkflowEffect.Stop.class::isInstance);
    }

    @Test
    public void endingMembersAreNotStopped() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a", "b");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.answerLeaseRenewal("b");
        leader.advance(40);
        leader.storeAll();
        leader.submit("g", LeaderFixture.job(2, 10, true));
        leader.advance(40);
        leader.storeAll();
        leader.advance(40);
        leader.confirmStarts();
        assertEquals(leader.startedWorkers().stream().sorted().toList(), List.of("a", "b"));
        String secondWorker = leader.startedWorkers().get(1);
        leader.advance(40);
        leader.answerLeaseRenewal(
                leader.startedWorkers().getFirst(),
                List.of(),
                List.of(new EndedRun(1, FIRST_MEMBER, 1, RunOutcome.DONE, "")));
        leader.advance(40);
        leader.answerLeaseRenewal(
                secondWorker, List.of(new RunningRun(SECOND_MEMBER, 1, "", 100)), List.of());
        leader.advance(40);
        assertFalse(wasStopSent(leader), "a member that is about to end was stopped");
        assertTrue(leader.state().workers().get(secondWorker).charges().containsKey(SECOND_MEMBER));
        leader.storeAll();
        leader.advance(40);
        leader.answerLeaseRenewal(
                secondWorker,
                List.of(),
                List.of(new EndedRun(1, SECOND_MEMBER, 1, RunOutcome.DONE, "")));
        assertTrue(
                leader.state().workers().get(secondWorker).charges().isEmpty(),
                "capacity is not released");
        assertFalse(wasStopSent(leader), "a member that has ended was stopped");
    }

    /**
     * Guards against a job that never ends: the gang has completed, and then the answer to the
     * start of a member is lost. The stop of that member must not set it back to waiting, because
     * the other members are done and a gang starts only as a whole.
     */
    @Test
    public void lostAnswerToStartDoesNotUndoCompletion() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a", "b");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.answerLeaseRenewal("b");
        leader.advance(40);
        leader.storeAll();
        leader.submit("g", gangAndNextStep());
        leader.advance(40);
        leader.storeAll();
        leader.advance(40);
        WorkflowEffect.Start first = leader.starts().get(0);
        WorkflowEffect.Start second = leader.starts().get(1);
        leader.completeStart(first, CommandOutcome.OK);
        leader.answerLeaseRenewal(
                first.worker().id(),
                List.of(),
                List.of(new EndedRun(1, first.command().task(), 1, RunOutcome.DONE, "")));
        leader.completeStart(second, CommandOutcome.UNKNOWN);
        TaskKey member = second.command().task();
        assertEquals(leader.state().jobs().get("g").task(member).phase(), Task.Phase.DONE);
        leader.answerLeaseRenewal(
                second.worker().id(),
                List.of(),
                List.of(new EndedRun(1, member, 1, RunOutcome.BROKEN, "")));
        assertEquals(leader.state().jobs().get("g").task(member).phase(), Task.Phase.DONE);
    }

    private static WorkflowDefinition gangAndNextStep() {
        Resources size = Resources.of(10_000, 1_000, 0);
        return new WorkflowDefinition(
                "p",
                List.of(
                        TestSteps.step(2, size, 1_000, List.of(), true),
                        TestSteps.step(1, size, 1_000, List.of(0), false)),
                0,
                0,
                0);
    }
}
