package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.OrderOutcome;
import org.testng.annotations.Test;

/**
 * How long a new leader waits before it starts tasks of jobs that an earlier one may have started.
 * Guards against a wait that is too short, so that a task runs twice, and against one that outlasts
 * what can still run.
 */
public final class TakeoverWaitTest {
    private static LeaderFixture takeover() {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(
                        List.of(LeaderFixture.accepted("j", LeaderFixture.job(2), 100_000)),
                        List.of(),
                        List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b"))));
    }

    /** Lets time pass; {@code a} answers all lease calls and {@code b} fails them. */
    private static void pass(LeaderFixture leader, long millis, OrderOutcome ofB) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerHold("a");
            leader.failHold("b", ofB);
            leader.store();
        }
    }

    @Test
    public void unreachedWorkerIsWaitedForUntilItsLeasesHaveEnded() {
        LeaderFixture leader = takeover();
        leader.list("a", "b");
        pass(leader, Bounds.CONFIRMED_LEASE_MILLIS, OrderOutcome.UNKNOWN);
        assertEquals(leader.starts(), List.of(), "starts before the leases have ended");
        pass(leader, 1_000, OrderOutcome.UNKNOWN);
        assertEquals(leader.starts(), List.of("a"));
    }

    @Test
    public void workerWhoseAddressAnotherHasIsNotWaitedFor() {
        LeaderFixture leader = takeover();
        leader.list("a");
        pass(leader, 500, OrderOutcome.OTHER_WORKER);
        assertEquals(leader.starts(), List.of("a"));
        assertFalse(leader.state().workers().containsKey("b"), "a worker that is gone is kept");
    }

    @Test
    public void workerThatRunsNothingLeavesTheStoredSet() {
        LeaderFixture leader = takeover();
        leader.list("a", "b");
        pass(leader, Bounds.CONFIRMED_LEASE_MILLIS + 2_000, OrderOutcome.UNKNOWN);
        assertFalse(leader.state().commits().listsWorker("b"), "an abandoned worker is listed");
        assertTrue(leader.state().commits().listsWorker("a"), "a worker in use is not listed");
        // It comes back: no start before the store lists it again.
        leader.advance(400);
        leader.answerHold("b");
        assertFalse(leader.state().commits().listsWorker("b"));
        leader.failHold("a", OrderOutcome.UNKNOWN);
        leader.submit("k", LeaderFixture.job(16));
        leader.submit("l", LeaderFixture.job(16));
        leader.advance(100);
        assertFalse(leader.starts().contains("b"), "a start before the worker is listed");
        leader.store();
        leader.advance(100);
        leader.store();
        leader.advance(100);
        assertTrue(leader.starts().contains("b"), "no start on a worker that came back");
    }

    /** A job keeps its age, so that what is late by now does not pass for new. */
    @Test
    public void ageOfJobsSurvives() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(LeaderFixture.accepted("j", LeaderFixture.job(2), 93_000)),
                                List.of(),
                                List.of()));
        assertEquals(leader.state().jobs().get("j").acceptedAt(), 93_000L);
    }
}
