package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.testng.annotations.Test;

/**
 * Guards against short urgent jobs that find no room because work that could wait for seconds has
 * taken all of it, and against capacity that stays idle although no urgent job arrives.
 */
public final class UrgentArrivalsTest {
    private static final int WORKER_COUNT = 10;
    private static final long CAPACITY_MILLICORES = WORKER_COUNT * 16_000L;
    private static final Queue SHORT = queue("short", 0, 1.5, 400);
    private static final Queue BULK = queue("bulk", 2, 4, 8_000);

    private static Queue queue(String name, int priority, double factor, long baseMillis) {
        return new Queue(
                name,
                "h",
                "/" + name,
                LeaderFixture.SERVICE,
                priority,
                3,
                3_000,
                factor,
                baseMillis,
                true,
                Optional.empty());
    }

    private static LeaderFixture leader(String order) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        new CellConfiguration(
                                1,
                                List.of(SHORT, BULK),
                                List.of(
                                        new CellConfiguration.Service(
                                                LeaderFixture.SERVICE, false)),
                                List.of(
                                        new CellConfiguration.Team(
                                                LeaderFixture.TEAM,
                                                List.of(),
                                                1_000,
                                                Resources.ZERO)),
                                100_000),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE),
                        SchedulingPolicies.named(
                                order,
                                SchedulingPolicies.DEFAULT_SHARE,
                                SchedulingPolicies.DEFAULT_DURATIONS,
                                SchedulingPolicies.DEFAULT_RETRY));
        List<String> workers = new ArrayList<>();
        for (int i = 0; i < WORKER_COUNT; i++) {
            workers.add("w" + i);
        }
        leader.listWorkers(workers.toArray(String[]::new));
        leader.advance(40);
        workers.forEach(leader::answerLeaseRenewal);
        leader.advance(40);
        leader.storeAll();
        return leader;
    }

    private static void place(LeaderFixture leader) {
        // A commit holds only some of the jobs.
        for (int i = 0; i < 4; i++) {
            leader.advance(40);
            leader.storeAll();
        }
        leader.advance(40);
    }

    /** Submits {@code count} jobs of one task of two cores. */
    private static void submit(LeaderFixture leader, Queue queue, int count, String prefix) {
        for (int i = 0; i < count; i++) {
            leader.submit(queue.name(), LeaderFixture.TEAM, prefix + i, LeaderFixture.job(2));
        }
        place(leader);
    }

    private static long started(LeaderFixture leader, String prefix) {
        return leader.starts().stream()
                .filter(s -> s.command().task().job().startsWith(prefix))
                .count();
    }

    /** The workers have places for 80 tasks. */
    @Test
    public void urgentJobFindsRoomBesideWorkWithAmpleSlack() {
        assertEquals(startedUrgentJobs("delay-cost"), 1);
        assertEquals(startedUrgentJobs("acceptance"), 0, "the load leaves room in any case");
    }

    private static long startedUrgentJobs(String order) {
        LeaderFixture leader = leader(order);
        submit(leader, SHORT, 10, "first");
        submit(leader, BULK, 100, "bulk");
        submit(leader, SHORT, 1, "urgent");
        return started(leader, "urgent");
    }

    @Test
    public void allCapacityIsUsedWithoutUrgentArrivals() {
        LeaderFixture leader = leader("delay-cost");
        submit(leader, BULK, 100, "bulk");
        for (int i = 0; i < 5; i++) {
            place(leader);
        }
        assertEquals(started(leader, "bulk"), 80);
    }

    /** Guards against a burst of urgent work that keeps most of the capacity from other work. */
    @Test
    public void reserveFollowsFromArrivalsAndIsBounded() {
        LeaderFixture leader = leader("delay-cost");
        assertEquals(fraction(leader), 0.0);
        submit(leader, SHORT, 5, "few");
        // Half of the ten cores that the jobs of the last second need, of 160.
        assertEquals(fraction(leader), 0.5 * 10 / 160, 1e-9);
        submit(leader, SHORT, 60, "many");
        double bounded = fraction(leader);
        assertTrue(bounded > 0 && bounded <= 0.08, "fraction " + bounded);
        leader.advance(2_000);
        assertEquals(fraction(leader), 0.0, "jobs that arrived earlier still count");
    }

    /** Returns the fraction of the capacity that must be free for a new job with ample slack. */
    private static double fraction(LeaderFixture leader) {
        WorkflowState state = leader.state();
        Job job =
                Job.submitted(
                                "b",
                                BULK.name(),
                                LeaderFixture.TEAM,
                                LeaderFixture.job(2),
                                new Job.Acceptance(1, leader.now(), 0, true))
                        .withOccurrence(0);
        return UrgentArrivals.minFreeFraction(
                Placement.candidate(state, job, new StepKey("b", 0, 0), BULK),
                () -> UrgentArrivals.of(state),
                CAPACITY_MILLICORES);
    }
}
