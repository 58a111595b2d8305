package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a leader that promises the same free capacity to each job that arrives before the
 * accepted ones have started, so that a crowd is accepted and everything is late.
 */
public final class ClaimedRoomTest {
    private static final String OTHER_TEAM = "other";

    /** A team may submit four jobs at once within its rate. */
    private static final double WEIGHT = 2;

    private static final int WORKER_CORES = 16;
    private static final AdviceSettings ADVICE = new AdviceSettings(100, 1, 2_000);

    @DataProvider
    public static Object[][] policies() {
        return new Object[][] {
            {SchedulingPolicies.DEFAULT},
            {SchedulingPolicies.named("delay-cost", "jobs", "learned", "spread")},
            {SchedulingPolicies.named("delay-cost", "rate", "learned", "spread")},
        };
    }

    private static LeaderFixture leader(
            SchedulingPolicies policies, Optional<AdviceSettings> advice) {
        Queue queue =
                new Queue(
                        LeaderFixture.QUEUE,
                        "h",
                        "/q/",
                        LeaderFixture.SERVICE,
                        0,
                        3,
                        3_000,
                        2,
                        400,
                        true,
                        advice);
        CellConfiguration configuration =
                new CellConfiguration(
                        1,
                        List.of(queue),
                        List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                        List.of(team(LeaderFixture.TEAM), team(OTHER_TEAM)),
                        100_000);
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE),
                        policies);
        leader.listWorkers("a");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.advance(40);
        leader.storeAll();
        leader.advance(100);
        return leader;
    }

    private static CellConfiguration.Team team(String name) {
        return new CellConfiguration.Team(name, List.of(), WEIGHT, Resources.ZERO);
    }

    private static boolean isRejected(LeaderFixture leader, String team, String id, int cores) {
        long request = leader.submit(LeaderFixture.QUEUE, team, id, LeaderFixture.job(cores));
        return leader.answer(request).filter(Reply.Rejected.class::isInstance).isPresent();
    }

    /** Submits jobs within the rate of a team and returns how many were rejected. */
    private static int submitFour(LeaderFixture leader, String team, int cores) {
        int rejected = 0;
        for (int i = 0; i < 4; i++) {
            rejected += isRejected(leader, team, team + i, cores) ? 1 : 0;
        }
        return rejected;
    }

    /** The accepted jobs wait for the answer of the advice service and claim the whole worker. */
    @Test(dataProvider = "policies")
    public void roomOfJobsWithoutTicketsIsNotPromisedAgain(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.of(ADVICE));
        assertEquals(submitFour(leader, LeaderFixture.TEAM, WORKER_CORES / 4 + 1), 0);
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        assertEquals(leader.starts(), List.of());
        assertEquals(isRejected(leader, LeaderFixture.TEAM, "beyond", 1), true);
        assertEquals(isRejected(leader, OTHER_TEAM, "within", 1), false);
    }

    /** The accepted jobs wait for the store. */
    @Test(dataProvider = "policies")
    public void roomOfJobsThatAreNotStoredIsNotPromisedAgain(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.empty());
        assertEquals(submitFour(leader, LeaderFixture.TEAM, WORKER_CORES / 4 + 1), 0);
        leader.advance(200);
        assertEquals(leader.starts(), List.of());
        assertEquals(isRejected(leader, LeaderFixture.TEAM, "beyond", 1), true);
        assertEquals(isRejected(leader, OTHER_TEAM, "within", 1), false);
    }

    /** All jobs arrive between two placement passes. */
    @Test(dataProvider = "policies")
    public void roomIsPromisedOnceBetweenTwoPasses(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.empty());
        assertEquals(submitFour(leader, LeaderFixture.TEAM, 1), 0);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 2 * WORKER_CORES; i++) {
            if (!isRejected(leader, LeaderFixture.TEAM, "beyond" + i, 1)) {
                accepted.add("beyond" + i);
            }
        }
        // The job that exceeds the room is accepted, because no other work waits before it.
        assertEquals(accepted.size(), WORKER_CORES - 4 + 1, accepted.toString());
    }

    /** Guards against rejections beside free capacity. */
    @Test(dataProvider = "policies")
    public void roomThatNoJobClaimsIsForEveryone(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.of(ADVICE));
        assertEquals(submitFour(leader, LeaderFixture.TEAM, WORKER_CORES / 8), 0);
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        assertEquals(isRejected(leader, LeaderFixture.TEAM, "beyond", WORKER_CORES / 2), false);
    }

    /** Guards against claims of work that cannot start: it is larger than every worker. */
    @Test(dataProvider = "policies")
    public void workThatFitsNoWorkerClaimsNothing(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.of(ADVICE));
        assertEquals(submitFour(leader, LeaderFixture.TEAM, 2 * WORKER_CORES), 0);
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        assertEquals(isRejected(leader, LeaderFixture.TEAM, "beyond", 1), false);
    }

    /** Guards against taking capacity for free that waiting steps get in the next pass. */
    @Test(dataProvider = "policies")
    public void roomThatBecomesFreeIsForWaitingWork(SchedulingPolicies policies) {
        LeaderFixture leader = leader(policies, Optional.empty());
        assertEquals(submitFour(leader, LeaderFixture.TEAM, WORKER_CORES), 0);
        leader.advance(60);
        leader.storeAll();
        leader.advance(60);
        assertEquals(leader.starts().size(), 1);
        leader.confirmStarts();
        WorkflowEffect.Start start = leader.starts().getFirst();
        leader.answerLeaseRenewal(
                "a",
                List.of(),
                List.of(
                        new WorkflowEvent.EndedRun(
                                1,
                                start.command().task(),
                                start.command().runNumber(),
                                WorkflowEvent.RunOutcome.DONE,
                                "")));
        assertEquals(isRejected(leader, LeaderFixture.TEAM, "beyond", 1), true);
    }
}
