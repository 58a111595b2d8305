package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.CommitCompleted;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.testng.annotations.Test;

/**
 * Guards against a cell without a leader after a refused commit. The entry goes on to send
 * heartbeats until it has read who leads, so it must claim or follow by itself.
 */
public final class DeposedLeaderTest {
    /** Longest time between two claims of one entry. */
    private static final long MAX_CLAIM_INTERVAL_MILLIS = 500;

    /** Returns an entry that led, and whose commit the store has just refused. */
    private static LeaderFixture deposed() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.submit("a", LeaderFixture.job(1));
        leader.advance(100);
        WorkflowEffect.Commit commit =
                leader.state().commitQueue().inFlight().orElseThrow().commit();
        leader.effects.clear();
        leader.post(
                new CommitCompleted(
                        leader.now(),
                        commit.leaderRevision(),
                        commit.batch(),
                        new CommitResult.LostLeadership()));
        assertFalse(leader.state().leadership().leads());
        return leader;
    }

    private static long claimCount(LeaderFixture leader) {
        return leader.effects.stream().filter(WorkflowEffect.Claim.class::isInstance).count();
    }

    /** Guards against an entry whose record stays in the store while nobody claims. */
    @Test
    public void entryThatTheStoreStillNamesClaimsAtOnceAndAgain() {
        LeaderFixture leader = deposed();
        leader.advance(100);
        assertEquals(claimCount(leader), 1);
        leader.post(new WorkflowEvent.ClaimCompleted(leader.now(), new ClaimResult.NotWon()));
        leader.advance(MAX_CLAIM_INTERVAL_MILLIS);
        assertEquals(claimCount(leader), 2);
    }

    /** Guards against an entry that does not follow the leader that has replaced it. */
    @Test
    public void entryFollowsLeaderThatItReads() {
        LeaderFixture leader = deposed();
        LeaderRecord other = new LeaderRecord("e1", "e1", 3, 100, true);
        leader.post(new WorkflowEvent.LeaderRead(leader.now(), leader.now(), Optional.of(other)));
        assertTrue(leader.effects.contains(new WorkflowEffect.LeaderChanged(other, false)));
        leader.advance(MAX_CLAIM_INTERVAL_MILLIS);
        assertEquals(claimCount(leader), 0);
    }
}
