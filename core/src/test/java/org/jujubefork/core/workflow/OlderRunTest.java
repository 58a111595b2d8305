package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/**
 * Guards against two active runs of one task after a takeover, when the new leader knows an older
 * run of the task on another worker.
 */
public final class OlderRunTest {
    private static final String JOB = "j";
    private static final TaskKey TASK = new TaskKey(JOB, 0, 0, 0);
    private static final long INCARNATION = 7;

    private static LeaderFixture takeover(SilentWorkers silentWorkers) {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50, Resources.ZERO),
                new WorkflowEvent.Snapshot(
                        List.of(LeaderFixture.acceptedJob(JOB, LeaderFixture.job(4), 99_000)),
                        List.of(),
                        List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b")),
                        silentWorkers));
    }

    private static RunningRun running(long runNumber) {
        return new RunningRun(TASK, runNumber, "", 100);
    }

    private static List<String> stoppedOn(LeaderFixture leader) {
        return leader.effects.stream()
                .filter(WorkflowEffect.Stop.class::isInstance)
                .map(e -> ((WorkflowEffect.Stop) e).worker().id())
                .toList();
    }

    /**
     * The record of silent workers is older than the newest run: the run that it names has ended,
     * and the leader before has started another one on worker b.
     */
    @Test
    public void newerRunIsAdoptedAfterRecordedRunHasEnded() {
        SilentWorkers record =
                new SilentWorkers(1, HashTreePMap.singleton("a", HashTreePMap.singleton(TASK, 1L)));
        LeaderFixture leader = takeover(record);
        leader.listWorkers("a", "b");
        // The renewal is sent in the millisecond in which the leader takes over.
        leader.post(
                new WorkflowEvent.LeaseRenewalAnswered(
                        leader.now() + 5,
                        leader.state().fence(),
                        leader.now(),
                        "a",
                        new WorkflowEvent.WorkerReport(
                                INCARNATION,
                                leader.now(),
                                TreePVector.empty(),
                                TreePVector.empty(),
                                true)));
        leader.advance(100);
        leader.answerLeaseRenewal("b", List.of(running(2)), List.of());
        leader.advance(200);
        assertEquals(stoppedOn(leader), List.of(), "the newest run was stopped");
        assertEquals(leader.state().jobs().get(JOB).task(TASK).worker(), "b");
    }

    @Test
    public void taskDoesNotStartBeforeItsOlderRunHasEnded() {
        LeaderFixture leader = takeover(SilentWorkers.NONE);
        leader.listWorkers("a", "b");
        leader.advance(100);
        leader.answerLeaseRenewal("a", List.of(running(2)), List.of());
        leader.answerLeaseRenewal("b", List.of(running(1)), List.of());
        assertEquals(stoppedOn(leader), List.of("b"));
        leader.storeAll();
        leader.advance(200);
        leader.answerLeaseRenewal(
                "a", List.of(), List.of(new EndedRun(1, TASK, 2, RunOutcome.FAILED, "")));
        leader.storeAll();
        leader.answerLeaseRenewal("b", List.of(running(1)), List.of());
        leader.advance(300);
        assertEquals(leader.startedWorkers(), List.of(), "started while run 1 is active on b");
        assertEquals(
                leader.state().waitingSteps().steps().get(TASK.stepKey()).reason(),
                WaitReason.RUN_STOPPING);
        WorkflowEffect.Stop stop =
                leader.effects.stream()
                        .filter(WorkflowEffect.Stop.class::isInstance)
                        .map(WorkflowEffect.Stop.class::cast)
                        .findFirst()
                        .orElseThrow();
        leader.post(
                new WorkflowEvent.CommandCompleted(
                        leader.now(), stop.leaderFence(), stop.command(), CommandOutcome.OK));
        leader.advance(100);
        leader.answerLeaseRenewal("a");
        leader.answerLeaseRenewal("b");
        leader.storeAll();
        leader.advance(600);
        leader.answerLeaseRenewal("a");
        leader.answerLeaseRenewal("b");
        leader.advance(300);
        assertEquals(leader.startedWorkers().size(), 1, "did not start after run 1 had ended");
    }
}
