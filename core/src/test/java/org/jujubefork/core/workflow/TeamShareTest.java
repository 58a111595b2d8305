package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.ShareReplay.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a burst of one team that delays the work of the others, and against shares that
 * delay work although capacity is free. 20 workers of 16 cores serve 20 teams of equal weight,
 * whose usual load needs 0.95 of the capacity: jobs of one task of four cores that runs for one
 * second.
 */
public final class TeamShareTest {
    private static final long SEED = 1;
    private static final int WORKER_COUNT = 20;
    private static final int TEAM_COUNT = 20;
    private static final double USUAL_JOBS_PER_SECOND = 3.8;
    private static final double BURST_FACTOR = 6;

    /** Weight at which the usual load is just below the limit of jobs per second. */
    private static final double SMALL_WEIGHT = 4;

    /** Weight at which the limit of jobs per second has no effect. */
    private static final double LARGE_WEIGHT = 50;

    private static final long SHORT_WAIT_MILLIS = 500;

    /** Longest time for which a team without running work stays over its share on a full fleet. */
    private static final long MAX_LOCKOUT_MILLIS = 3_000;

    private static final String BURST_TEAM = "t0";
    private static final long SLICE_MILLIS = 20;

    private final Random random = new Random(SEED);

    private static ShareReplay replay(String share, double weight) {
        double[] weights = new double[TEAM_COUNT];
        Arrays.fill(weights, weight);
        return new ShareReplay(share, WORKER_COUNT, weights);
    }

    /** Lets all teams submit their usual load for {@code millis}, times a factor for the first. */
    private void load(ShareReplay replay, long millis, double usual, double factor) {
        for (long end = replay.now() + millis; replay.now() < end; ) {
            for (int team = 0; team < TEAM_COUNT; team++) {
                double rate = team == 0 ? usual * factor : usual;
                int count = poisson(rate * SLICE_MILLIS / 1_000);
                for (int i = 0; i < count; i++) {
                    replay.submit("t" + team, LeaderFixture.job(4));
                }
            }
            replay.advance(SLICE_MILLIS);
        }
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble();
                product > limit;
                product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private static List<Outcome> others(ShareReplay replay) {
        return IntStream.range(1, TEAM_COUNT).mapToObj(i -> replay.outcome("t" + i)).toList();
    }

    private static Outcome sum(List<Outcome> outcomes) {
        Outcome sum = new Outcome();
        for (Outcome outcome : outcomes) {
            sum.accepted += outcome.accepted;
            sum.started += outcome.started;
            sum.waitMillis.addAll(outcome.waitMillis);
            sum.retryAfterMillis.addAll(outcome.retryAfterMillis);
        }
        return sum;
    }

    /**
     * Replays a burst of one team while the others submit their usual load. A new leader takes over
     * in the middle of the burst if {@code takesOver}.
     */
    private ShareReplay burst(String share, double weight, boolean takesOver) {
        random.setSeed(SEED);
        ShareReplay replay = replay(share, weight);
        load(replay, 3_000, USUAL_JOBS_PER_SECOND, 1);
        replay.clearOutcomes();
        load(replay, 3_000, USUAL_JOBS_PER_SECOND, BURST_FACTOR);
        if (takesOver) {
            replay.takeOver();
        }
        load(replay, 3_000, USUAL_JOBS_PER_SECOND, BURST_FACTOR);
        replay.advance(3_000);
        return replay;
    }

    private static String report(String title, ShareReplay replay) {
        return "%s: burst team: %s; others: %s"
                .formatted(title, replay.outcome(BURST_TEAM), sum(others(replay)));
    }

    @DataProvider
    public static Object[][] takeovers() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a burst of large weight, which the limit by jobs per second does not see: the
     * other teams wait and the team of the burst is served as if it were the most urgent.
     */
    @Test(dataProvider = "takeovers")
    public void teamBearsItsOwnBurst(boolean takesOver) {
        ShareReplay jobs = burst("jobs", LARGE_WEIGHT, takesOver);
        ShareReplay work = burst("work", LARGE_WEIGHT, takesOver);
        Outcome othersByJobs = sum(others(jobs));
        Outcome othersByWork = sum(others(work));
        String report = report("jobs", jobs) + "; " + report("work", work);
        assertTrue(
                othersByWork.countWaiting(SHORT_WAIT_MILLIS)
                        < 0.5 * othersByJobs.countWaiting(SHORT_WAIT_MILLIS),
                report);
        assertTrue(othersByWork.retryAfterMillis.size() < 0.03 * othersByWork.accepted, report);
        Outcome burstTeam = work.outcome(BURST_TEAM);
        assertTrue(burstTeam.retryAfterMillis.size() > 0.3 * burstTeam.accepted, report);
        assertTrue(
                burstTeam.retryAfterMillis.stream().allMatch(m -> m >= 1_000 && m <= 10_000),
                "retry-after: " + burstTeam.retryAfterMillis);
        assertFalse(work.logEvents("teams-over-share").isEmpty(), "not logged");
    }

    /**
     * Guards against teams that are rejected because their jobs arrive unevenly, although the team
     * of the burst causes the overload.
     */
    @Test
    public void otherTeamsAreRejectedLessThanByJobs() {
        ShareReplay jobs = burst("jobs", SMALL_WEIGHT, false);
        ShareReplay work = burst("work", SMALL_WEIGHT, false);
        String report = report("jobs", jobs) + "; " + report("work", work);
        assertTrue(
                sum(others(work)).retryAfterMillis.size()
                        < sum(others(jobs)).retryAfterMillis.size(),
                report);
        assertTrue(sum(others(work)).accepted > sum(others(jobs)).accepted, report);
    }

    /** Guards against delays because of shares on a fleet with free capacity. */
    @Test
    public void nobodyIsDelayedOnIdleFleet() {
        random.setSeed(SEED);
        ShareReplay replay = replay("work", 1);
        load(replay, 6_000, 0.3 * USUAL_JOBS_PER_SECOND, BURST_FACTOR);
        replay.advance(1_000);
        Outcome burstTeam = replay.outcome(BURST_TEAM);
        for (Outcome outcome : List.of(burstTeam, sum(others(replay)))) {
            assertTrue(outcome.accepted > 20, report("idle", replay));
            assertEquals(outcome.retryAfterMillis, List.of(), report("idle", replay));
            assertEquals(outcome.countWaiting(100), 0, report("idle", replay));
        }
    }

    /**
     * Guards against rejecting small jobs beside free workers: a gang waits for more capacity than
     * is free, and a team submits many jobs of one core.
     */
    @Test
    public void smallJobsAreAcceptedWhileWorkersAreFree() {
        ShareReplay replay = new ShareReplay("work", 10, 2, 2, 2);
        replay.submit("t1", LeaderFixture.job(4, 16, true));
        replay.advance(100);
        // The gang may reserve half of the workers, so that one is free for others.
        replay.submit("t2", LeaderFixture.job(8, 16, true));
        replay.advance(100);
        assertTrue(replay.state().backlogs().hasBacklog(LeaderFixture.SERVICE), "no backlog");
        for (int i = 0; i < 8; i++) {
            replay.submit("t0", LeaderFixture.job(1));
        }
        replay.advance(100);
        Outcome outcome = replay.outcome("t0");
        assertEquals(outcome.retryAfterMillis, List.of(), "rejected beside free workers");
        assertEquals(outcome.started, 8, "not started beside free workers");
    }

    @DataProvider
    public static Object[][] gangDurations() {
        return new Object[][] {{1_000}, {4_000}};
    }

    /**
     * Guards against a small team that is locked out for long after a gang that alone exceeds its
     * share: a quarter of the fleet for a team that is entitled to a hundredth.
     */
    @Test(dataProvider = "gangDurations")
    public void teamOfWideGangIsServedSoonAfterIt(long durationMillis) {
        random.setSeed(SEED);
        ShareReplay replay = new ShareReplay("work", WORKER_COUNT, 100, 3_300, 3_300, 3_300);
        Resources size = Resources.of(16_000, 1_000, 0);
        replay.submit(
                "t0", TestSteps.job(TestSteps.step(5, size, durationMillis, List.of(), true)));
        replay.advance(100);
        assertEquals(replay.runningMillicores("t0"), 80_000, "the gang does not run");
        while (replay.runningMillicores("t0") > 0) {
            saturate(replay);
        }
        long endedAt = replay.now();
        while (replay.now() - endedAt < 200) {
            saturate(replay);
        }
        replay.clearOutcomes();
        while (replay.outcome("t0").started == 0) {
            replay.submit("t0", LeaderFixture.job(1));
            saturate(replay);
            assertTrue(
                    replay.now() - endedAt <= MAX_LOCKOUT_MILLIS,
                    "locked out: " + replay.outcome("t0"));
        }
    }

    /**
     * Keeps work of the teams t1, t2 and t3 waiting for a short time. The durations differ, so that
     * room never comes in amounts that leave some to a team that is locked out.
     */
    private void saturate(ShareReplay replay) {
        Resources size = Resources.of(4_000, 1_000, 0);
        for (int i = replay.state().waitingSteps().steps().size(); i < 30; i++) {
            long durationMillis = 500 + random.nextInt(1_000);
            replay.submit(
                    "t" + (1 + i % 3), TestSteps.job(TestSteps.step(1, size, durationMillis)));
        }
        replay.advance(SLICE_MILLIS);
    }

    /** Guards against a ledger that costs time or changes decisions where nothing asks for it. */
    @Test
    public void defaultPolicyKeepsNoLedger() {
        ShareReplay replay = new ShareReplay(SchedulingPolicies.DEFAULT_SHARE, 1, 2, 2);
        replay.submit("t0", LeaderFixture.job(4));
        replay.advance(200);
        assertEquals(replay.state().teamLedger(), TeamLedger.EMPTY);
    }
}
