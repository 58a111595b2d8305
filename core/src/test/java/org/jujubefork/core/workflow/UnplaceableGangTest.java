package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an accepted gang that never starts on idle workers, because workers are reserved
 * for an earlier gang that cannot be placed on any set of workers.
 */
public final class UnplaceableGangTest {
    private static final List<String> WORKERS = List.of("a", "b", "c", "d");

    /** Workers that are fully allocated in some cases, so that reservations are allowed. */
    private static final List<String> BUSY_WORKERS = List.of("e", "f", "g", "h");

    private static final int CORES_PER_WORKER = 16;
    private static final String UNLIMITED_TEAM = "u";

    /** Limit of {@link LeaderFixture#TEAM}: two workers. */
    private static final Resources LIMIT = Resources.of(2 * CORES_PER_WORKER * 1_000L, 0, 0);

    /** Time within which a step that can run has to start, as the platform's rules demand. */
    private static final long MAX_START_MILLIS = 3_000;

    private static WorkflowDefinition gang(int taskCount, long estimateMillis) {
        Resources size = Resources.of(CORES_PER_WORKER * 1_000L, 1_000, 0);
        return TestSteps.job(TestSteps.step(taskCount, size, estimateMillis, List.of(), true));
    }

    private static LeaderFixture withIdleWorkers() {
        CellConfiguration base = LeaderFixture.configuration(50, LIMIT);
        List<CellConfiguration.Team> teams =
                List.of(
                        base.teams().get(0),
                        new CellConfiguration.Team(UNLIMITED_TEAM, List.of(), 50, Resources.ZERO));
        CellConfiguration configuration =
                new CellConfiguration(
                        base.version(), base.queues(), base.services(), teams, 100_000);
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers(WORKERS.toArray(String[]::new));
        advance(leader, 300);
        return leader;
    }

    /** Returns a leader half of whose workers run long tasks and the others none. */
    private static LeaderFixture withHalfOfTheWorkersIdle() {
        LeaderFixture leader = withIdleWorkers();
        leader.listWorkers(BUSY_WORKERS.toArray(String[]::new));
        advance(leader, 300);
        for (String worker : BUSY_WORKERS) {
            submit(leader, UNLIMITED_TEAM, "on-" + worker, gang(1, 60_000));
        }
        advance(leader, 500);
        assertEquals(Set.copyOf(leader.startedWorkers()), Set.copyOf(BUSY_WORKERS));
        leader.effects.clear();
        List<String> all = new ArrayList<>(WORKERS);
        all.addAll(BUSY_WORKERS);
        leader.listWorkers(all.toArray(String[]::new));
        advance(leader, 300);
        return leader;
    }

    /** Advances the time while the workers and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            WORKERS.forEach(leader::answerLeaseRenewal);
            BUSY_WORKERS.forEach(leader::answerLeaseRenewal);
            leader.storeAll();
        }
    }

    private static void submit(
            LeaderFixture leader, String team, String id, WorkflowDefinition job) {
        leader.post(
                new WorkflowEvent.CallArrived(
                        leader.now(),
                        100,
                        new WorkflowEvent.Call.Submit(LeaderFixture.QUEUE, team, id, job)));
    }

    @DataProvider
    public Object[][] unplaceableGangs() {
        return new Object[][] {
            {"above its team's limit", LeaderFixture.TEAM, 3},
            {"wider than the workers", UNLIMITED_TEAM, 5}
        };
    }

    @Test(dataProvider = "unplaceableGangs")
    public void gangStartsBehindGangThatCannotBePlaced(String why, String team, int taskCount) {
        LeaderFixture leader = withIdleWorkers();
        submit(leader, team, "unplaceable", gang(taskCount, 4_000));
        advance(leader, 500);
        submit(leader, UNLIMITED_TEAM, "j", gang(WORKERS.size(), 4_000));
        advance(leader, MAX_START_MILLIS);
        assertEquals(new HashSet<>(leader.startedWorkers()), Set.copyOf(WORKERS), why);
    }

    /** Guards against reservations that only the low load of the fleet prevents. */
    @Test(dataProvider = "unplaceableGangs")
    public void gangStartsBesideBusyWorkers(String why, String team, int taskCount) {
        LeaderFixture leader = withHalfOfTheWorkersIdle();
        boolean isTooWide = team.equals(UNLIMITED_TEAM);
        int count = isTooWide ? BUSY_WORKERS.size() + taskCount : taskCount;
        submit(leader, team, "unplaceable", gang(count, 4_000));
        advance(leader, 500);
        submit(leader, UNLIMITED_TEAM, "j", gang(WORKERS.size(), 4_000));
        advance(leader, MAX_START_MILLIS);
        assertEquals(new HashSet<>(leader.startedWorkers()), Set.copyOf(WORKERS), why);
    }

    /** Guards against rejections of jobs because of work that waits for ever. */
    @Test(dataProvider = "unplaceableGangs")
    public void gangThatCannotBePlacedIsNoBacklog(String why, String team, int taskCount) {
        LeaderFixture leader = withIdleWorkers();
        submit(leader, team, "unplaceable", gang(taskCount, 4_000));
        advance(leader, 500);
        assertEquals(
                leader.state().backlogs().hasBacklog(LeaderFixture.SERVICE),
                false,
                "backlog of a gang " + why);
    }
}
