package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.testng.annotations.Test;

/**
 * Guards against jobs that are rejected although work behind them or no work at all delays them.
 */
public final class DelayCostAdmissionTest {
    private static final String TEAM = "t";

    /** A team that is never over its share. */
    private static final String LARGE_TEAM = "large";

    private static final Queue SHORT = queue("short", 1.5, 400);

    /** The same priority as {@link #SHORT}, with much more slack. */
    private static final Queue LONG = queue("long", 4, 60_000);

    private static Queue queue(String name, double factor, long baseMillis) {
        return new Queue(
                name,
                "h",
                "/" + name,
                LeaderFixture.SERVICE,
                0,
                3,
                3_000,
                factor,
                baseMillis,
                true,
                Optional.empty());
    }

    private static LeaderFixture leader(String order, double weight) {
        CellConfiguration configuration =
                new CellConfiguration(
                        1,
                        List.of(SHORT, LONG),
                        List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                        List.of(
                                new CellConfiguration.Team(TEAM, List.of(), weight, Resources.ZERO),
                                new CellConfiguration.Team(
                                        LARGE_TEAM, List.of(), 1_000, Resources.ZERO)),
                        100_000);
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE),
                        SchedulingPolicies.named(
                                order,
                                SchedulingPolicies.DEFAULT_SHARE,
                                SchedulingPolicies.DEFAULT_DURATIONS,
                                "spread"));
        leader.listWorkers("a");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.advance(40);
        leader.storeAll();
        return leader;
    }

    private static Optional<Reply.Rejected> submit(
            LeaderFixture leader, Queue queue, String id, int cores) {
        return submit(leader, queue, TEAM, id, cores);
    }

    private static Optional<Reply.Rejected> submit(
            LeaderFixture leader, Queue queue, String team, String id, int cores) {
        long request = leader.submit(queue.name(), team, id, LeaderFixture.job(cores));
        return leader.answer(request)
                .filter(Reply.Rejected.class::isInstance)
                .map(Reply.Rejected.class::cast);
    }

    private static void place(LeaderFixture leader) {
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
    }

    /** Submits jobs that each occupy the whole worker for one second. */
    private static void fill(LeaderFixture leader, Queue queue, int count) {
        for (int i = 0; i < count; i++) {
            assertEquals(submit(leader, queue, queue.name() + i, 16), Optional.empty());
        }
        place(leader);
    }

    /** Guards against counting work that waits behind the job because it has more slack. */
    @Test
    public void workWithMoreSlackDoesNotDelay() {
        LeaderFixture byCost = leader("delay-cost", 1_000);
        fill(byCost, LONG, 12);
        assertEquals(submit(byCost, SHORT, "s", 16), Optional.empty());
        LeaderFixture byAcceptance = leader("acceptance", 1_000);
        fill(byAcceptance, LONG, 12);
        assertTrue(submit(byAcceptance, SHORT, "s", 16).isPresent());
    }

    /** Guards against accepting a job that would complete after three times its objective. */
    @Test
    public void jobThatWorkBeforeItMakesTooLateIsRejected() {
        LeaderFixture leader = leader("delay-cost", 1_000);
        fill(leader, SHORT, 8);
        assertTrue(submit(leader, SHORT, "s", 16).isPresent());
        assertTrue(
                leader.effects.stream()
                        .filter(WorkflowEffect.LogEvent.class::isInstance)
                        .map(WorkflowEffect.LogEvent.class::cast)
                        .filter(e -> e.event().equals("job-refused"))
                        .allMatch(e -> e.fields().contains("order_value_ms")),
                "the log event of a rejected job does not show its order value");
    }

    /** Guards against rejecting a job that a free worker could run, whatever waits. */
    @Test
    public void jobIsAcceptedWhileAWorkerIsFree() {
        LeaderFixture leader = leader("delay-cost", 1);
        // The first job occupies 10 of the 16 cores; the second one does not fit.
        assertEquals(submit(leader, SHORT, "running", 10), Optional.empty());
        assertEquals(submit(leader, SHORT, "waiting", 10), Optional.empty());
        place(leader);
        assertTrue(leader.state().backlogs().hasBacklog(LeaderFixture.SERVICE));
        assertEquals(submit(leader, SHORT, "fits", 4), Optional.empty());
        assertTrue(submit(leader, SHORT, "too-large", 8).isPresent());
    }

    /** Guards against callers of a team over its share that return before the share allows it. */
    @Test
    public void teamOverItsShareReturnsWhenTheShareAllows() {
        LeaderFixture leader = leader("delay-cost", 0.25);
        assertEquals(submit(leader, SHORT, "first", 1), Optional.empty());
        for (int i = 0; i < 2; i++) {
            assertEquals(submit(leader, SHORT, LARGE_TEAM, "large" + i, 15), Optional.empty());
        }
        place(leader);
        Reply.Rejected rejected = submit(leader, SHORT, "beyond", 16).orElseThrow();
        assertTrue(rejected.retryAfterMillis() >= 3_000, "returns too early: " + rejected);
        assertEquals(submit(leader, SHORT, LARGE_TEAM, "within", 16), Optional.empty());
    }
}
