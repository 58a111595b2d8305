package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/** Guards against starts in an evacuated zone, and against work that an evacuation breaks. */
public final class EvacuationTest {
    private static WorkflowEffect.Reply answer(EvacuationFixture fixture, long request) {
        return fixture.leader.answer(request).orElseThrow();
    }

    private static Task task(EvacuationFixture fixture, String job, int index) {
        return fixture.leader.state().jobs().get(job).task(new StepKey(job, 0, 0).task(index));
    }

    /** Guards against starts on workers of the zone, and against a wait when others are free. */
    @Test
    public void startsNothingInTheZone() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        fixture.evacuate("a");
        fixture.submit("j", LeaderFixture.job(4, 4, false));
        fixture.advance(300, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("b1", "b1", "b1", "b1"));
        fixture.submit("k", LeaderFixture.job(16));
        fixture.advance(500, "a1", "b1");
        assertFalse(fixture.leader.startedWorkers().contains("a1"));
    }

    /** Guards against a task that stays assigned to the zone and starts with a renewed ticket. */
    @Test
    public void assignedTaskIsReleasedInTheSameEvent() {
        EvacuationFixture fixture = leadingWithExpiredTicket();
        fixture.evacuate("a");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.WAITING);
        assertEquals(
                fixture.leader.state().workers().get("a1").charges().size(), 0, "still charged");
        fixture.leader.grantAdvice(fixture.leader.adviceRequests().get(1));
        fixture.advance(500, "a1");
        assertEquals(fixture.leader.starts().size(), 1, "starts besides the one before");
    }

    private static EvacuationFixture leadingWithExpiredTicket() {
        EvacuationFixture fixture =
                EvacuationFixture.leading(
                        LeaderFixture.configuration(new AdviceSettings(30, 1, 2_000)), "a1");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(200, "a1");
        fixture.leader.grantAdvice(fixture.leader.adviceRequests().get(0));
        fixture.leader.advance(100);
        fixture.leader.completeStart(fixture.leader.starts().get(0), CommandOutcome.NO_TICKET);
        fixture.advance(200, "a1");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.ASSIGNED);
        return fixture;
    }

    /** Guards against a gang of which some members stay assigned while others are released. */
    @Test
    public void assignedGangIsReleasedAsAWhole() {
        EvacuationFixture fixture =
                EvacuationFixture.leading(
                        LeaderFixture.configuration(new AdviceSettings(30, 1, 2_000)), "a1", "b1");
        fixture.submit("j", LeaderFixture.job(2, 16, true));
        fixture.advance(200, "a1", "b1");
        fixture.leader.grantAdvice(fixture.leader.adviceRequests().get(0));
        fixture.leader.advance(100);
        List.copyOf(fixture.leader.starts())
                .forEach(s -> fixture.leader.completeStart(s, CommandOutcome.NO_TICKET));
        fixture.advance(200, "a1", "b1");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.ASSIGNED);
        assertEquals(task(fixture, "j", 1).phase(), Task.Phase.ASSIGNED);
        fixture.evacuate("a");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.WAITING);
        assertEquals(task(fixture, "j", 1).phase(), Task.Phase.WAITING);
    }

    /** Guards against a stop or a second run of a task whose start is in flight. */
    @Test
    public void startInFlightIsAdopted() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1");
        fixture.submit("j", LeaderFixture.job(4));
        fixture.advance(100);
        assertEquals(fixture.leader.startedWorkers(), List.of("a1"));
        fixture.listWorkers("a1", "b1");
        fixture.evacuate("a");
        fixture.advance(400, "b1");
        fixture.leader.confirmStarts();
        fixture.advance(1_000, "a1", "b1");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.RUNNING);
        assertEquals(fixture.leader.startedWorkers(), List.of("a1"));
        assertFalse(fixture.leader.leaseRenewals("a1").isEmpty(), "lease not renewed");
    }

    /** Guards against a second run before the stop of an unanswered start is confirmed. */
    @Test
    public void startWithoutResponseIsPlacedElsewhereAfterItsStop() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1");
        fixture.submit("j", LeaderFixture.job(4));
        fixture.advance(100);
        fixture.listWorkers("a1", "b1");
        fixture.evacuate("a");
        WorkflowEffect.Start start = fixture.leader.starts().get(0);
        fixture.leader.completeStart(start, CommandOutcome.UNKNOWN);
        fixture.advance(1_000, "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("a1"), "started before the stop");
        fixture.leader.post(
                new WorkflowEvent.CommandCompleted(
                        fixture.leader.now(),
                        start.leaderFence(),
                        new WorkflowEvent.WorkerCommand(
                                WorkflowEvent.CommandKind.STOP,
                                "a1",
                                start.command().task(),
                                start.command().runNumber()),
                        CommandOutcome.OK));
        fixture.advance(1_500, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("a1", "b1"));
    }

    /** Guards against a gang that is stopped because of the evacuation, or restarts in the zone. */
    @Test
    public void gangPartlyInTheZoneRunsOnAndRestartsOutside() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        fixture.submit("j", LeaderFixture.job(2, 16, true));
        fixture.advance(200, "a1", "b1");
        fixture.leader.confirmStarts();
        assertEquals(fixture.leader.startedWorkers().size(), 2);
        fixture.evacuate("a");
        fixture.listWorkers("a1", "b1", "b2", "b3");
        fixture.advance(1_000, "a1", "b1", "b2", "b3");
        assertEquals(fixture.leader.startedWorkers().size(), 2, "restarted");
        assertEquals(task(fixture, "j", 0).phase(), Task.Phase.RUNNING);
        assertEquals(task(fixture, "j", 1).phase(), Task.Phase.RUNNING);
        for (WorkflowEffect.Start start : List.copyOf(fixture.leader.starts())) {
            fixture.leader.answerLeaseRenewal(
                    start.worker().id(),
                    List.of(),
                    List.of(
                            new WorkflowEvent.EndedRun(
                                    1,
                                    start.command().task(),
                                    start.command().runNumber(),
                                    WorkflowEvent.RunOutcome.LAPSED,
                                    "")));
        }
        fixture.advance(1_000, "b1", "b2", "b3");
        List<String> restarted = fixture.leader.startedWorkers().subList(2, 4);
        assertTrue(restarted.stream().allMatch(w -> w.startsWith("b")), restarted.toString());
    }

    /** Guards against one evacuation that replaces or ends another. */
    @Test
    public void twoZonesAtOnce() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1", "c1");
        fixture.evacuate("a");
        fixture.evacuate("b");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(300, "a1", "b1", "c1");
        fixture.withdraw("a");
        fixture.submit("k", LeaderFixture.job(16));
        fixture.advance(300, "a1", "b1", "c1");
        assertEquals(fixture.leader.startedWorkers(), List.of("c1", "a1"));
    }

    /** Guards against a new job that waits for a zone, and an accepted one that is dropped. */
    @Test
    public void newJobsAreRejectedWhileAllZonesAreEvacuated() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "b1");
        fixture.submit("j", LeaderFixture.job(40));
        fixture.submit("k", LeaderFixture.job(2, 16, false));
        fixture.evacuate("a");
        fixture.evacuate("b");
        long request = fixture.leader.submit("l", LeaderFixture.job(1));
        WorkflowEffect.Reply.Rejected rejected =
                (WorkflowEffect.Reply.Rejected) answer(fixture, request);
        assertFalse(rejected.overloaded());
        assertTrue(rejected.retryAfterMillis() > 0);
        fixture.advance(2_000, "a1", "b1");
        assertTrue(fixture.leader.state().jobs().get("k").isActive());
        assertFalse(fixture.leader.state().jobs().containsKey("l"));
        fixture.withdraw("a");
        fixture.submit("m", LeaderFixture.job(1));
        fixture.advance(500, "a1", "b1");
        assertTrue(fixture.leader.state().jobs().containsKey("m"), "rejected after the return");
    }

    /** Guards against a step without workers that shows no reason or a wrong one. */
    @Test
    public void stepThatNeedsTheZoneShowsWhyItWaits() {
        EvacuationFixture fixture = EvacuationFixture.leading("b1");
        fixture.leader.list(
                List.of(
                        EvacuationFixture.worker("a1", "gpu", 0),
                        EvacuationFixture.worker("b1", "", 0)));
        fixture.advance(300, "a1", "b1");
        fixture.evacuate("a");
        fixture.submit("j", EvacuationFixture.labeledJob("gpu"));
        fixture.advance(300, "a1", "b1");
        assertEquals(
                fixture.leader
                        .state()
                        .waitingSteps()
                        .steps()
                        .get(new StepKey("j", 0, 0))
                        .reason()
                        .label(),
                "zone-evacuated");
        fixture.withdraw("a");
        fixture.advance(300, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("a1"));
    }

    /** Guards against the use of a cold worker while a warm one has room. */
    @Test
    public void coldWorkersAreUsedAfterWarmOnes() {
        EvacuationFixture fixture = EvacuationFixture.leading("b1");
        fixture.leader.list(
                List.of(
                        EvacuationFixture.worker("a1", "", 4_000),
                        EvacuationFixture.worker("b1", "", 0)));
        fixture.submit("i", LeaderFixture.job(1));
        fixture.advance(300, "a1", "b1");
        fixture.submit("j", LeaderFixture.job(3, 8, false));
        fixture.advance(300, "a1", "b1");
        assertEquals(fixture.leader.startedWorkers(), List.of("b1", "b1", "a1", "a1"));
    }

    /** Guards against an evacuation that appears to have no effect in a zone of other workers. */
    @Test
    public void zoneOfNoWorkerIsLoggedOnceAndCoversLaterWorkers() {
        EvacuationFixture fixture = EvacuationFixture.leading("b1");
        fixture.evacuate("c");
        fixture.advance(1_000, "b1");
        assertEquals(fixture.logged("evacuated-zone-unknown").size(), 1);
        fixture.listWorkers("b1", "c1");
        fixture.submit("j", LeaderFixture.job(2, 16, false));
        fixture.advance(500, "b1", "c1");
        assertEquals(fixture.leader.startedWorkers(), List.of("b1"));
        assertEquals(fixture.logged("evacuated-zone-unknown").size(), 1);
    }

    /** Guards against log lines without the figures that operators need. */
    @Test
    public void logsWorkersAndRunningTasks() {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "a2");
        fixture.submit("j", LeaderFixture.job(3, 4, false));
        fixture.advance(300, "a1", "a2");
        fixture.evacuate("a");
        WorkflowEffect.LogEvent evacuated = fixture.logged("zone-evacuated").get(0);
        assertEquals(evacuated.subject(), "a");
        assertEquals(evacuated.fields(), List.of("workers", "2", "running", "3"));
        fixture.advance(1_000, "a1", "a2");
        fixture.withdraw("a");
        assertEquals(fixture.logged("zone-returned").size(), 1);
        assertEquals(fixture.logged("zone-evacuated").size(), 1);
    }

    /** Guards against any effect of evacuations in a deployment without them. */
    @Test
    public void ignoredWithoutTheSetting() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a");
        leader.post(
                new WorkflowEvent.EvacuationsRead(
                        leader.now(),
                        leader.now(),
                        HashTreePMap.from(Map.of("z", new EvacuationRequest(1, true)))));
        leader.advance(100);
        leader.answerLeaseRenewal("a");
        leader.storeAll();
        leader.submit("j", LeaderFixture.job(1));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
        assertEquals(leader.startedWorkers(), List.of("a"));
        assertEquals(Optional.of(false), Optional.of(leader.state().evacuations().enabled()));
    }
}
