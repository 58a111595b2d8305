package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against jobs that are accepted or left waiting although they cannot be served in time. */
public final class JobAdmissionTest {
    private static final WorkflowEvent.Snapshot EMPTY_SNAPSHOT =
            new WorkflowEvent.Snapshot(List.of(), List.of(), List.of(), SilentWorkers.NONE);

    private static LeaderFixture leaderWithWorker(double weight) {
        return leaderWithWorker(LeaderFixture.configuration(weight), SchedulingPolicies.DEFAULT);
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

    /**
     * Submits four jobs, which use up the burst of a team with weight 2, and lets the leader place
     * those that fit.
     */
    private static void submitFour(LeaderFixture leader, int cores) {
        for (int i = 0; i < 4; i++) {
            leader.submit("j" + i, LeaderFixture.job(cores));
        }
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
    }

    private static boolean isRejected(LeaderFixture leader, long request) {
        return leader.answer(request).filter(Reply.Rejected.class::isInstance).isPresent();
    }

    /**
     * Guards against callers that wait for an unreachable store: jobs keep arriving while the store
     * does not answer for seconds.
     */
    @Test
    public void jobsAreRejectedWhileStoreIsUnreachable() {
        LeaderFixture leader = leaderWithWorker(50);
        long sentRequest = leader.submit("sent", LeaderFixture.job(1));
        leader.advance(100);
        long unsentRequest = leader.submit("unsent", LeaderFixture.job(1));
        leader.advance(WorkflowLimits.STORE_STALL_TIMEOUT_MILLIS + 100);
        assertTrue(
                isRejected(leader, unsentRequest),
                "a job without a commit in flight is not rejected");
        assertEquals(
                leader.answer(sentRequest),
                Optional.empty(),
                "answered before the result of the commit is known");
        long laterRequest = leader.submit("later", LeaderFixture.job(1));
        assertTrue(isRejected(leader, laterRequest), "a job submitted later is not rejected");
        leader.storeAll();
        assertEquals(leader.answer(sentRequest), Optional.of(new Reply.Done()));
        leader.advance(100);
        leader.storeAll();
        assertEquals(leader.state().jobs().keySet(), java.util.Set.of("sent"));
        long repeatedRequest = leader.submit("unsent", LeaderFixture.job(1));
        leader.advance(100);
        leader.storeAll();
        assertEquals(leader.answer(repeatedRequest), Optional.of(new Reply.Done()));
    }

    /**
     * Guards against a team that takes more than its share: it submits jobs far above its weight
     * while the workers are fully loaded.
     */
    @Test
    public void teamOverItsShareIsRejectedWhenFleetIsFull() {
        LeaderFixture leader = leaderWithWorker(2);
        submitFour(leader, 16);
        long requestOverShare = leader.submit("beyond", LeaderFixture.job(1));
        assertTrue(isRejected(leader, requestOverShare), "accepted over the share of the team");
        leader.advance(1_100);
        leader.storeAll();
        long requestWithinShare = leader.submit("within", LeaderFixture.job(1));
        assertTrue(
                !isRejected(leader, requestWithinShare), "rejected within the share of the team");
    }

    @Test
    public void teamOverItsShareMayUseFreeCapacity() {
        LeaderFixture leader = leaderWithWorker(2);
        for (int i = 0; i < 12; i++) {
            long request = leader.submit("j" + i, LeaderFixture.job(1));
            assertTrue(!isRejected(leader, request), "rejected with free capacity: " + i);
        }
    }

    /**
     * Guards against rejecting other jobs because a job that fits on no worker counts as backlog.
     */
    @Test
    public void jobThatFitsNoWorkerDoesNotBlockOthers() {
        LeaderFixture leader = leaderWithWorker(2);
        submitFour(leader, 64);
        long request = leader.submit("beyond", LeaderFixture.job(1));
        assertTrue(!isRejected(leader, request), "rejected with free capacity");
    }

    /**
     * Guards against accepting a job that would wait for more than three times its objective
     * because of a large backlog.
     */
    @Test
    public void jobThatWouldBeTooLateIsRejected() {
        LeaderFixture leader = leaderWithWorker(1_000);
        // The objective is 2 x 1 s + 0.4 s; each of these jobs occupies the worker for 1 s.
        long lastRequest = 0;
        for (int i = 0; i < 12; i++) {
            lastRequest = leader.submit("j" + i, LeaderFixture.job(16));
            leader.advance(60);
            leader.storeAll();
        }
        assertTrue(isRejected(leader, lastRequest), "accepted although it would be too late");
        Reply.Rejected rejected = (Reply.Rejected) leader.answer(lastRequest).orElseThrow();
        assertTrue(rejected.retryAfterMillis() >= 1_000, "retry-after is too short: " + rejected);
    }

    /**
     * Guards against counting only the work that found no room: jobs that wait for the advice
     * service take the room before a job that arrives after them.
     */
    @Test(dataProvider = "orders")
    public void jobBehindTooMuchWorkWithoutTicketsIsRejected(String order) {
        LeaderFixture leader =
                leaderWithWorker(
                        LeaderFixture.configuration(new AdviceSettings(100, 1, 2_000)),
                        SchedulingPolicies.named(order, "jobs", "declared", "uniform"));
        long lastRequest = 0;
        for (int i = 0; i < 20; i++) {
            lastRequest = leader.submit("j" + i, LeaderFixture.job(16));
            leader.advance(60);
            leader.storeAll();
        }
        assertEquals(leader.starts(), List.of());
        assertTrue(isRejected(leader, lastRequest), "accepted although it would be too late");
    }

    @DataProvider
    public static Object[][] orders() {
        return new Object[][] {{"acceptance"}, {"delay-cost"}};
    }
}
