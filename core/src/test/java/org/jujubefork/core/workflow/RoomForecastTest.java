package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.testng.annotations.Test;

/** Guards against admission that expects capacity at the wrong time. */
public final class RoomForecastTest {
    private static final int URGENT = 0;
    private static final WorkflowEvent.Snapshot EMPTY_SNAPSHOT =
            new WorkflowEvent.Snapshot(List.of(), List.of(), List.of(), SilentWorkers.NONE);
    private static final SchedulingPolicies LEARNED =
            SchedulingPolicies.named("acceptance", "jobs", "learned", "uniform");

    private static RemainingTimes endingAt(long... millis) {
        RemainingTimes.Builder builder = new RemainingTimes.Builder();
        for (long remaining : millis) {
            builder.add(remaining, 1_000);
        }
        return builder.build();
    }

    private static void assertNear(long actual, long expected) {
        assertTrue(
                actual > expected * 0.8 && actual < expected * 1.25,
                actual + " ms, expected about " + expected);
    }

    /** Guards against a wait of 0 while all capacity is in use and nothing waits. */
    @Test
    public void waitIncludesTheRunningTasks() {
        RoomTable table = new RoomTable(0, 2_000, endingAt(1_000, 3_000), Map.of());
        assertNear(table.waitMillis(URGENT, 1_000), 1_000);
        assertNear(table.waitMillis(URGENT, 2_000), 3_000);
        assertEquals(table.waitMillis(URGENT, 3_000), RoomTable.NEVER);
    }

    /** Guards against counting work that goes after the new job. */
    @Test
    public void onlyWorkOfTheSameOrMoreUrgentPriorityCounts() {
        RoomTable table =
                new RoomTable(1_000, 0, RemainingTimes.NONE, Map.of(1, 5_000_000L, 2, 1_000_000L));
        assertEquals(table.waitMillis(0, 1_000), 0);
        assertNear(table.waitMillis(1, 1_000), 5_000);
        assertNear(table.waitMillis(2, 1_000), 6_000);
    }

    /** Guards against a limit that is exceeded, as after a change of the configuration. */
    @Test
    public void exceededLimitDelaysUntilEnoughTasksEnd() {
        RoomTable table = new RoomTable(-1_000, 3_000, endingAt(500, 1_000, 4_000), Map.of());
        assertNear(table.waitMillis(URGENT, 1_000), 1_000);
        assertNear(table.waitMillis(URGENT, 2_000), 4_000);
    }

    /** Guards against capacity that is expected back from tasks that run until cancelled. */
    @Test
    public void endlessTasksFreeNothing() {
        RemainingTimes.Builder builder = new RemainingTimes.Builder();
        builder.addEndless(1_000);
        RoomTable table = new RoomTable(0, 1_000, builder.build(), Map.of(0, 1L));
        assertEquals(table.waitMillis(URGENT, 1_000), RoomTable.NEVER);
    }

    private static LeaderFixture leaderWithWorker(
            CellConfiguration configuration, SchedulingPolicies policies) {
        LeaderFixture leader = LeaderFixture.leading(configuration, EMPTY_SNAPSHOT, policies);
        leader.listWorkers("a");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.advance(40);
        leader.storeAll();
        return leader;
    }

    /** Returns a leader that has learned that the estimates of its queue are right. */
    private static LeaderFixture learnedLeader(CellConfiguration configuration) {
        LeaderFixture leader = leaderWithWorker(configuration, LEARNED);
        learn(leader);
        return leader;
    }

    /** Runs jobs, one after the other, whose duration is their estimate of one second. */
    private static void learn(LeaderFixture leader) {
        for (int i = 0; i < QueueDurations.MIN_SAMPLE_COUNT; i++) {
            leader.submit("learn" + i, LeaderFixture.job(1));
            leader.advance(60);
            leader.storeAll();
            leader.advance(60);
            TaskKey task = new TaskKey("learn" + i, 0, 0, 0);
            leader.starts().stream()
                    .filter(s -> s.command().task().equals(task))
                    .forEach(
                            s -> {
                                leader.completeStart(s, WorkflowEvent.CommandOutcome.OK);
                            });
            leader.advance(1_000);
            end(leader, i + 1, task);
            leader.advance(60);
            leader.storeAll();
        }
    }

    private static void end(LeaderFixture leader, long sequence, TaskKey task) {
        leader.answerLeaseRenewal(
                "a",
                List.of(),
                List.of(
                        new WorkflowEvent.EndedRun(
                                sequence, task, 1, WorkflowEvent.RunOutcome.DONE, "")));
    }

    private static Queue queue(LeaderFixture leader) {
        return leader.state().configuration().orElseThrow().queues().get(0);
    }

    private static OptionalLong expectedWait(LeaderFixture leader, WorkflowDefinition job) {
        return leader.state().forecast().expectedWaitMillis(job, LeaderFixture.TEAM, queue(leader));
    }

    /** Guards against a new leader that forecasts without evidence. */
    @Test
    public void leaderWithoutSamplesDecidesAsDeclared() {
        LeaderFixture leader = leaderWithWorker(LeaderFixture.configuration(50), LEARNED);
        leader.submit("full", LeaderFixture.job(16));
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        assertEquals(expectedWait(leader, LeaderFixture.job(1)), OptionalLong.empty());
        assertSame(leader.state().forecast(), RoomForecast.NONE);
    }

    /** Guards against learning, and so another cost, although the settings do not ask for it. */
    @Test
    public void nothingIsLearnedWithDeclaredDurations() {
        LeaderFixture leader =
                leaderWithWorker(LeaderFixture.configuration(50), SchedulingPolicies.DEFAULT);
        learn(leader);
        assertSame(leader.state().durations(), LearnedDurations.NONE);
        assertSame(leader.state().forecast(), RoomForecast.NONE);
    }

    /** Guards against samples with a wrong start, and against a forecast that stays empty. */
    @Test
    public void runsOfThisLeaderAreLearned() {
        LeaderFixture leader = learnedLeader(LeaderFixture.configuration(50));
        assertTrue(leader.state().durations().isLearned(LeaderFixture.QUEUE));
        long expected = leader.state().durations().expectedMillis(LeaderFixture.QUEUE, 1_000);
        assertTrue(expected >= 1_000 && expected <= 1_100, "expected " + expected);
        long logged =
                leader.effects.stream()
                        .filter(WorkflowEffect.LogEvent.class::isInstance)
                        .map(WorkflowEffect.LogEvent.class::cast)
                        .filter(e -> e.event().equals("durations-learned"))
                        .count();
        assertEquals(logged, 1);
        assertEquals(expectedWait(leader, LeaderFixture.job(16)), OptionalLong.of(0));
    }

    /** Guards against counting one member of a gang, or a gang that no worker has room for. */
    @Test
    public void widthOfGangCounts() {
        LeaderFixture leader = learnedLeader(LeaderFixture.configuration(50));
        leader.submit("running", LeaderFixture.job(8));
        leader.advance(60);
        leader.storeAll();
        leader.advance(100);
        assertEquals(expectedWait(leader, LeaderFixture.job(4, 2, true)), OptionalLong.of(0));
        assertTrue(expectedWait(leader, LeaderFixture.job(8, 2, true)).orElseThrow() > 500);
        Queue queue = queue(leader);
        RoomForecast forecast = leader.state().forecast();
        assertTrue(
                forecast.hasRoom(
                        LeaderFixture.job(4, 2, true),
                        LeaderFixture.TEAM,
                        queue,
                        Urgency.Rank.ON_TIME));
        assertFalse(
                forecast.hasRoom(
                        LeaderFixture.job(5, 2, true),
                        LeaderFixture.TEAM,
                        queue,
                        Urgency.Rank.ON_TIME));
    }

    /** Guards against a job that waits for its team although the workers are free. */
    @Test
    public void limitOfTeamCounts() {
        LeaderFixture leader =
                learnedLeader(LeaderFixture.configuration(50, Resources.of(4_000, 0, 0)));
        leader.submit("running", LeaderFixture.job(4));
        leader.advance(60);
        leader.storeAll();
        // The remaining times are refreshed early, because a quarter of the service is allocated.
        leader.advance(300);
        assertTrue(expectedWait(leader, LeaderFixture.job(1)).orElseThrow() > 300);
        assertFalse(
                leader.state()
                        .forecast()
                        .hasRoom(
                                LeaderFixture.job(1),
                                LeaderFixture.TEAM,
                                queue(leader),
                                Urgency.Rank.ON_TIME));
    }

    /**
     * Guards against rejecting a job over the share of its team although workers are free: only a
     * gang that does not fit waits.
     */
    @Test
    public void jobIsNotRejectedWhileWorkersAreFree() {
        LeaderFixture leader = learnedLeader(LeaderFixture.configuration(0.001));
        leader.submit("half", LeaderFixture.job(8));
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        leader.submit("gang", LeaderFixture.job(2, 8, true));
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        long request = leader.submit("small", LeaderFixture.job(1));
        leader.advance(60);
        leader.storeAll();
        assertEquals(leader.answer(request), Optional.of(new Reply.Done()));
    }

    /** Guards against a former leader that uses what it learned in an earlier term. */
    @Test
    public void newTermLearnsAnew() {
        LeaderFixture leader = learnedLeader(LeaderFixture.configuration(50));
        WorkflowState next =
                Takeover.lead(
                        leader.state(),
                        new WorkflowEvent.ClaimResult.Won(
                                new LeaderRecord("e0", "e0", 3, 1_000, true), EMPTY_SNAPSHOT));
        assertSame(next.durations(), LearnedDurations.NONE);
        assertSame(next.forecast(), RoomForecast.NONE);
    }
}
