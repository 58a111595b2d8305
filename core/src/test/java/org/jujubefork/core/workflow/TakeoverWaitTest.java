package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * How long a new leader waits before it starts tasks of jobs that an earlier one may have started.
 * Guards against a wait that is too short, so that a task runs twice, and against one that outlasts
 * what can still run.
 */
public final class TakeoverWaitTest {
    /** Latest end of a lease after the store last confirmed the leader that gave it. */
    private static final long LATEST_LEASE_MILLIS = 8_000;

    private static LeaderFixture takeover() {
        return LeaderFixture.leading(
                LeaderFixture.configuration(50),
                new WorkflowEvent.Snapshot(
                        List.of(LeaderFixture.accepted("j", LeaderFixture.job(2), 100_000)),
                        List.of(),
                        List.of(LeaderFixture.worker("a"), LeaderFixture.worker("b"))));
    }

    /** Lets time pass; {@code a} answers all lease calls and {@code b} fails them. */
    private static void pass(LeaderFixture leader, long millis, CommandOutcome ofB) {
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
        pass(leader, LATEST_LEASE_MILLIS, CommandOutcome.UNKNOWN);
        assertEquals(leader.starts(), List.of(), "starts before the leases have ended");
        pass(leader, 1_000, CommandOutcome.UNKNOWN);
        assertEquals(leader.starts(), List.of("a"));
    }

    /** The wait of the next leader is long enough only if no lease ends later. */
    @Test
    public void leasesOfALeaderWithoutTheStoreEndInTime() {
        LeaderFixture leader = takeover();
        leader.list("a");
        pass(leader, 500, CommandOutcome.OTHER_WORKER);
        long confirmedAt = leader.now();
        leader.effects.clear();
        for (int i = 0; i < 45; i++) {
            leader.advanceUnconfirmed(100);
            leader.answerHold("a");
        }
        List<Long> leases = leader.leases();
        assertFalse(leases.isEmpty(), "no lease was given");
        for (long until : leases) {
            assertTrue(until <= confirmedAt + LATEST_LEASE_MILLIS, "ends at " + until);
        }
        assertTrue(
                leader.now() + WorkflowLimits.WORKER_LEASE_MILLIS
                        > confirmedAt + LATEST_LEASE_MILLIS);
    }

    /** The list of workers may still have an entry of a worker that is gone. */
    @Test
    public void listedWorkerWhoseAddressAnotherHasIsNotWaitedFor() {
        LeaderFixture leader = takeover();
        leader.list("a", "b");
        pass(leader, 500, CommandOutcome.OTHER_WORKER);
        assertEquals(leader.starts(), List.of("a"));
    }

    @Test
    public void workerWhoseAddressAnotherHasIsNotWaitedFor() {
        LeaderFixture leader = takeover();
        leader.list("a");
        pass(leader, 500, CommandOutcome.OTHER_WORKER);
        assertEquals(leader.starts(), List.of("a"));
        assertFalse(leader.state().workers().containsKey("b"), "a worker that is gone is kept");
    }

    @Test
    public void workerThatRunsNothingLeavesTheStoredSet() {
        LeaderFixture leader = takeover();
        leader.list("a", "b");
        pass(leader, LATEST_LEASE_MILLIS + 2_000, CommandOutcome.UNKNOWN);
        assertFalse(leader.state().commits().listsWorker("b"), "an abandoned worker is listed");
        assertTrue(leader.state().commits().listsWorker("a"), "a worker in use is not listed");
        // The job fits only on the other worker, which comes back.
        leader.submit("k", LeaderFixture.job(16));
        pass(leader, 300, CommandOutcome.UNKNOWN);
        leader.advance(400);
        leader.answerHold("b");
        assertFalse(leader.state().commits().listsWorker("b"));
        leader.advance(200);
        assertFalse(leader.starts().contains("b"), "a start before the worker is listed");
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
