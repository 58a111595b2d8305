package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.Test;

/** Guards against a ledger that measures the use of a team wrongly. */
public final class TeamLedgerTest {
    private static final long INTERVAL_MILLIS = 20;
    private static final double DELTA = 1e-6;

    private static List<CellConfiguration.Team> teams(double... weights) {
        List<CellConfiguration.Team> teams = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            teams.add(new CellConfiguration.Team("t" + i, List.of(), weights[i], Resources.ZERO));
        }
        return teams;
    }

    private static TeamLedger advance(
            TeamLedger ledger,
            List<CellConfiguration.Team> teams,
            Map<String, Long> running,
            long millis) {
        TeamLedger result = ledger;
        for (long i = 0; i < millis; i += INTERVAL_MILLIS) {
            result =
                    result.advancedTo(
                            result.updatedAt() + INTERVAL_MILLIS,
                            teams,
                            t -> running.getOrDefault(t, 0L),
                            List.of());
        }
        return result;
    }

    @Test
    public void shareFollowsWeights() {
        TeamLedger ledger =
                advance(TeamLedger.EMPTY, teams(1, 3), Map.of("t0", 1_000L, "t1", 1_000L), 4_000);
        assertEquals(ledger.shareRatio("t0"), 2, DELTA);
        assertEquals(ledger.shareRatio("t1"), 2.0 / 3, DELTA);
        assertTrue(ledger.isOverShare("t0"), "not over its share");
        assertFalse(ledger.isOverShare("t1"), "over its share");
    }

    /** Guards against idle teams that keep the shares of the others small. */
    @Test
    public void shareOfIdleTeamGoesToOthers() {
        List<CellConfiguration.Team> teams = teams(1, 1, 8);
        TeamLedger busy =
                advance(
                        TeamLedger.EMPTY,
                        teams,
                        Map.of("t0", 1_000L, "t1", 1_000L, "t2", 8_000L),
                        2_000);
        assertEquals(busy.shareRatio("t0"), 1, DELTA);
        TeamLedger idle = advance(busy, teams, Map.of("t0", 1_000L, "t1", 1_000L), 4_000);
        assertEquals(idle.shareRatio("t0"), 1, DELTA);
        assertFalse(idle.isOverShare("t1"), "over its share although only two teams are active");
    }

    /** Guards against a suspended leader that counts the pause as use, or forgets all use. */
    @Test
    public void pauseCountsAsOneTick() {
        List<CellConfiguration.Team> teams = teams(1, 1);
        TeamLedger before = advance(TeamLedger.EMPTY, teams, Map.of("t0", 1_000L), 1_000);
        TeamLedger paused =
                before.advancedTo(before.updatedAt() + 60_000, teams, t -> 0, List.of());
        TeamLedger ticked =
                before.advancedTo(
                        before.updatedAt() + WorkflowLimits.LEADER_TICK_MILLIS,
                        teams,
                        t -> 0,
                        List.of());
        double used = before.accounts().get("t0").usedWork();
        assertEquals(
                paused.accounts().get("t0").usedWork(), ticked.accounts().get("t0").usedWork());
        assertTrue(paused.accounts().get("t0").usedWork() > 0.9 * used, "forgotten in a pause");
    }

    @Test
    public void useIsHalvedInHalfLife() {
        List<CellConfiguration.Team> teams = teams(1, 1);
        Map<String, Long> running = Map.of("t0", 1_000L, "t1", 1_000L);
        TeamLedger busy = advance(TeamLedger.EMPTY, teams, running, 10_000);
        TeamLedger later = advance(busy, teams, Map.of("t1", 1_000L), TeamAccount.HALF_LIFE_MILLIS);
        assertEquals(
                later.accounts().get("t0").usedWork(),
                0.5 * busy.accounts().get("t0").usedWork(),
                1);
    }

    /** Guards against a team without a weight that counts as over a share of nothing. */
    @Test
    public void teamWithoutWeightHasNoShare() {
        TeamLedger ledger =
                advance(TeamLedger.EMPTY, teams(0, 1), Map.of("t0", 5_000L, "t1", 1_000L), 1_000);
        assertEquals(ledger.shareRatio("t0"), 0, DELTA);
        assertFalse(ledger.isOverShare("t0"), "over its share without a weight");
        assertEquals(ledger.shareRatio("unknown"), 0, DELTA);
    }

    /** Guards against a pass that does not see what it has allocated itself. */
    @Test
    public void allocationOfPassCountsAtOnce() {
        TeamLedger ledger =
                advance(TeamLedger.EMPTY, teams(1, 1), Map.of("t0", 1_000L, "t1", 1_000L), 4_000);
        assertFalse(ledger.isOverShare("t0"), "over its share");
        assertTrue(ledger.withRunning("t0", 5_000).isOverShare("t0"), "not over its share");
    }

    /** Guards against long punishment for a burst on a fleet that nobody else has used. */
    @Test
    public void usedWorkIsBounded() {
        List<CellConfiguration.Team> teams = teams(1, 9);
        TeamLedger alone = advance(TeamLedger.EMPTY, teams, Map.of("t0", 10_000L), 10_000);
        Map<String, Long> others = Map.of("t1", 10_000L);
        TeamLedger contended = advance(alone, teams, others, 2 * INTERVAL_MILLIS);
        assertTrue(contended.isOverShare("t0"), "use is forgotten at once");
        TeamLedger later = advance(contended, teams, others, 3_000);
        assertFalse(later.isOverShare("t0"), "ratio after 3 s: " + later.shareRatio("t0"));
    }
}
