package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.LeaderSignal;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/**
 * Guards against a takeover by an entry that is too small to lead a large fleet, and against many
 * entries that claim the leadership at the same time.
 */
public final class SuccessionTest {
    private static final String LEADER = "leader:1";
    private static final int LARGE_MILLICORES = 1_500;
    private static final int SMALL_MILLICORES = 360;

    private WorkflowState state;
    private boolean claimed;

    private void post(WorkflowEvent event) {
        WorkflowTransition transition = WorkflowReducer.reduce(state, event);
        state = transition.state();
        claimed |= transition.effects().stream().anyMatch(WorkflowEffect.Claim.class::isInstance);
    }

    /** Makes this entry a follower whose leader announces {@code position}; -1 for none. */
    private void follow(int processorMillicores, int position) {
        claimed = false;
        state = WorkflowState.initial("e1", processorMillicores);
        post(
                new WorkflowEvent.ConfigurationRead(
                        1_000, 1_000, Optional.of(LeaderFixture.configuration(50))));
        LeaderRecord record = new LeaderRecord("e0", LEADER, 3, 20, true);
        post(new WorkflowEvent.LeaderRead(1_000, 1_000, Optional.of(record)));
        post(new WorkflowEvent.LeaderSignalReceived(1_000, LEADER, LeaderSignal.HEARTBEAT));
        if (position >= 0) {
            post(new WorkflowEvent.SuccessionAnnounced(1_000, LEADER, position));
        }
    }

    /** Returns how long after the end of the leader's process this entry claims. */
    private long claimDelayMillis() {
        long refusedAt = 1_500;
        post(
                new WorkflowEvent.LeaderSignalReceived(
                        refusedAt, LEADER, LeaderSignal.CONNECTION_REFUSED));
        long now = refusedAt;
        while (!claimed && now < refusedAt + 5_000) {
            now = Math.max(now + 1, state.nextTickAt());
            // Each failed attempt to connect repeats the signal.
            post(
                    new WorkflowEvent.LeaderSignalReceived(
                            now, LEADER, LeaderSignal.CONNECTION_REFUSED));
            post(new WorkflowEvent.Tick(now, now));
        }
        assertTrue(claimed, "no claim");
        return now - refusedAt;
    }

    @Test
    public void firstSuccessorClaimsAtOnce() {
        follow(SMALL_MILLICORES, 0);
        assertEquals(claimDelayMillis(), 0);
    }

    @Test
    public void laterSuccessorsLeaveTimeToTheEarlierOnes() {
        follow(LARGE_MILLICORES, 1);
        long secondDelay = claimDelayMillis();
        assertTrue(secondDelay >= 50, "the second claims after " + secondDelay + " ms");
        follow(LARGE_MILLICORES, 40);
        long lastDelay = claimDelayMillis();
        assertTrue(lastDelay > secondDelay && lastDelay <= 500, "last after " + lastDelay + " ms");
    }

    @Test
    public void smallEntryWithoutPositionLeavesTimeToLargeOnes() {
        follow(LARGE_MILLICORES, -1);
        assertEquals(claimDelayMillis(), 0);
        follow(SMALL_MILLICORES, -1);
        long delay = claimDelayMillis();
        assertTrue(delay >= 300 && delay <= 500, "claims after " + delay + " ms");
    }

    /**
     * Guards against followers that wait for their next contact with the store before they replace
     * a leader that has lost it: the contact is up to two seconds old while the store answers all
     * watch calls, and then all followers would claim at the same moment.
     */
    @Test
    public void leaderWithoutStoreIsReplacedBetweenTwoContactsWithTheStore() {
        follow(LARGE_MILLICORES, 0);
        long lostAt = 2_500;
        long now = lostAt;
        while (!claimed && now < lostAt + 400) {
            post(
                    new WorkflowEvent.LeaderSignalReceived(
                            now, LEADER, LeaderSignal.HEARTBEAT_WITHOUT_STORE));
            post(new WorkflowEvent.Tick(now, now));
            now += 50;
        }
        assertTrue(claimed, "no claim within 400 ms; the last contact is 1.9 s old");
    }

    /** Guards against a position that an earlier leader has announced. */
    @Test
    public void positionEndsWithTheTermOfTheLeader() {
        follow(SMALL_MILLICORES, 0);
        LeaderRecord next = new LeaderRecord("e2", "next:1", 4, 21, true);
        post(new WorkflowEvent.LeaderRead(1_100, 1_100, Optional.of(next)));
        assertEquals(state.leadership().successionPosition(), -1);
        post(new WorkflowEvent.SuccessionAnnounced(1_200, LEADER, 0));
        assertEquals(state.leadership().successionPosition(), -1);
    }

    @Test
    public void leaderAnnouncesLargeFollowersFirst() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.effects.clear();
        leader.post(
                new WorkflowEvent.FollowersChanged(
                        leader.now(),
                        HashTreePMap.singleton("a", SMALL_MILLICORES)
                                .plus("b", LARGE_MILLICORES)
                                .plus("c", LARGE_MILLICORES)));
        assertEquals(
                leader.effects.stream()
                        .filter(WorkflowEffect.AnnounceSuccession.class::isInstance)
                        .map(e -> ((WorkflowEffect.AnnounceSuccession) e).entries())
                        .toList(),
                List.of(List.of("b", "c", "a")));
    }

    /**
     * Guards against a deposed leader that says of a call in the commit in flight that nothing was
     * done: the store may still carry out the commit.
     */
    @Test
    public void deposedLeaderDoesNotDenyCallsInFlight() {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(50),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.advance(100);
        leader.storeAll();
        leader.advance(100);
        long inFlight = leader.submit("a", LeaderFixture.job(1));
        leader.advance(100);
        long unsent = leader.submit("b", LeaderFixture.job(1));
        long repeated = leader.submit("a", LeaderFixture.job(1));
        assertFalse(leader.answer(inFlight).isPresent());
        LeaderRecord next = new LeaderRecord("e1", "e1", 3, 99, true);
        leader.post(new WorkflowEvent.LeaderRead(leader.now(), leader.now(), Optional.of(next)));
        assertEquals(
                List.of(
                        leader.answer(inFlight).orElseThrow(),
                        leader.answer(unsent).orElseThrow(),
                        leader.answer(repeated).orElseThrow()),
                List.of(
                        new WorkflowEffect.Reply.OutcomeUnknown(),
                        new WorkflowEffect.Reply.NotLeading(),
                        new WorkflowEffect.Reply.OutcomeUnknown()));
    }

    /**
     * Guards against a cell without a leader until the process of a resigned leader has ended: the
     * leader's next heartbeat came before a later successor's turn, and revoked the resignation.
     */
    @Test
    public void heartbeatDoesNotRevokeResignation() {
        follow(LARGE_MILLICORES, 1);
        post(new WorkflowEvent.LeaderSignalReceived(1_500, LEADER, LeaderSignal.RESIGNED));
        for (long now = 1_510; !claimed && now < 2_000; now += 10) {
            post(new WorkflowEvent.LeaderSignalReceived(now, LEADER, LeaderSignal.HEARTBEAT));
            post(new WorkflowEvent.Tick(now, now));
        }
        assertTrue(claimed, "no claim within 500 ms after the leader has resigned");
    }

    /**
     * Guards against an entry that begins to shut down while its claim is in flight, and then leads
     * and denies all calls until its process has ended.
     */
    @Test
    public void entryThatShutsDownDuringItsClaimResigns() {
        follow(LARGE_MILLICORES, 0);
        claimDelayMillis();
        long now = state.now();
        post(new WorkflowEvent.ResignRequested(now));
        LeaderRecord record = new LeaderRecord("e1", "e1", 4, 21, true);
        WorkflowTransition won =
                WorkflowReducer.reduce(
                        state,
                        new WorkflowEvent.ClaimCompleted(
                                now,
                                new WorkflowEvent.ClaimResult.Won(
                                        record,
                                        new WorkflowEvent.Snapshot(
                                                List.of(),
                                                List.of(),
                                                List.of(),
                                                SilentWorkers.NONE))));
        assertTrue(
                won.effects().stream().anyMatch(WorkflowEffect.Resign.class::isInstance),
                "no resignation");
    }
}
