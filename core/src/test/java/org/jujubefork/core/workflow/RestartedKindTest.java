package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.TreePVector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a start on a restarted worker that is decided by what the worker list says of the
 * earlier incarnation: another service, another label or a larger capacity.
 */
public final class RestartedKindTest {
    private static final Resources LARGE = Resources.of(16_000, 64_000, 0);
    private static final Resources SMALL = Resources.of(2_000, 64_000, 0);
    private static final AdviceSettings ADVICE = new AdviceSettings(10, 1, 400);

    /** What an incarnation of worker {@code a} is like. */
    private record Kind(String service, String label, Resources capacity) {
        WorkerNode.Listing listing(long born) {
            return new WorkerNode.Listing(
                    "a", service, "a:1", "z", false, capacity, List.of(label), "", born);
        }
    }

    private static final Kind FIRST = new Kind(LeaderFixture.SERVICE, "x", LARGE);

    @DataProvider
    public Object[][] laterKinds() {
        return new Object[][] {
            {new Kind("other", "x", LARGE)},
            {new Kind(LeaderFixture.SERVICE, "y", LARGE)},
            {new Kind(LeaderFixture.SERVICE, "x", SMALL)}
        };
    }

    private static LeaderFixture leading(CellConfiguration configuration) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.answersWorkerListRequests = false;
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 200);
        return leader;
    }

    /** Advances the time; worker {@code a} answers all renewals, and the store all writes. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(20);
            leader.answerLeaseRenewal("a");
            leader.storeAll();
        }
    }

    private static WorkflowDefinition job() {
        return TestSteps.job(
                TestSteps.labeled(2, Resources.of(4_000, 1_000, 0), 1, List.of(), "x"));
    }

    private static void restart(LeaderFixture leader) {
        leader.restartWorker("a");
        leader.failLeaseRenewal("a", CommandOutcome.UNKNOWN);
    }

    private static boolean isListRequested(LeaderFixture leader) {
        return leader.effects.stream().anyMatch(WorkflowEffect.ReadWorkerList.class::isInstance);
    }

    @Test(dataProvider = "laterKinds")
    public void nothingStartsBeforePresentIncarnationIsListed(Kind later) {
        LeaderFixture leader = leading(LeaderFixture.configuration(50));
        leader.submit("j", job());
        leader.storeAll();
        restart(leader);
        advance(leader, 1_000);
        assertTrue(leader.state().workers().get("a").contact().isIncarnationConfirmed());
        assertEquals(
                leader.starts(), List.of(), "a start by the record of the earlier incarnation");
        leader.list(List.of(later.listing(leader.incarnation("a"))));
        advance(leader, 1_000);
        assertEquals(leader.starts(), List.of());
        restart(leader);
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 1_000);
        assertEquals(leader.startedWorkers(), List.of("a", "a"), "no start on a worker that fits");
    }

    /** Guards against a wait for the next regular reading of the worker list. */
    @Test
    public void listIsReadAtOnceUnlessItShowsTheRestartAlready() {
        LeaderFixture leader = leading(LeaderFixture.configuration(50));
        assertFalse(isListRequested(leader));
        restart(leader);
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 1_000);
        assertFalse(isListRequested(leader), "the list shows the restart");
        restart(leader);
        advance(leader, 1_000);
        assertTrue(isListRequested(leader));
    }

    /** The restart is known, and the list read, while an assigned task waits for its ticket. */
    @Test(dataProvider = "laterKinds")
    public void assignedTaskDoesNotStartOnWorkerOfAnotherKind(Kind later) {
        LeaderFixture leader = leading(LeaderFixture.configuration(ADVICE));
        leader.submit("j", job());
        advance(leader, 100);
        // The tickets expire before their tasks are placed, so they are renewed after that.
        leader.list(List.of(new Kind("other", "x", LARGE).listing(leader.incarnation("a"))));
        leader.takeAdviceRequests().forEach(leader::grantAdvice);
        advance(leader, 500);
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 200);
        StepKey step = new StepKey("j", 0, 0);
        assertTrue(leader.state().jobs().get("j").progress(step).hasAssigned());
        restart(leader);
        // No placement pass runs between these events.
        reportRestart(leader);
        leader.list(List.of(later.listing(leader.incarnation("a"))));
        for (int i = 0; i < 10; i++) {
            leader.takeAdviceRequests().forEach(leader::grantAdvice);
            assertEquals(leader.starts(), List.of(), "a start by what was assigned before");
            advance(leader, 100);
        }
    }

    /** Lets the present incarnation answer under the fence of a commit, without a tick. */
    private static void reportRestart(LeaderFixture leader) {
        long fence = leader.state().commitQueue().previousRevision();
        leader.post(renewalAnswer(leader));
        leader.storeAll();
        leader.answerLeaseRenewal("a");
        leader.storeAll();
        leader.answerLeaseRenewal("a");
        assertTrue(leader.state().commitQueue().previousRevision() > fence);
        assertTrue(leader.state().workers().get("a").contact().isIncarnationConfirmed());
    }

    private static WorkflowEvent renewalAnswer(LeaderFixture leader) {
        return new WorkflowEvent.LeaseRenewalAnswered(
                leader.now(),
                leader.state().fence(),
                leader.now(),
                "a",
                new WorkflowEvent.WorkerReport(
                        leader.incarnation("a"),
                        leader.now(),
                        TreePVector.empty(),
                        TreePVector.empty(),
                        true));
    }

    /** Guards against starts that the worker rejects, and that are tried again with a delay. */
    @Test
    public void ticketOfEarlierIncarnationIsRenewedBeforeStart() {
        LeaderFixture leader =
                leading(LeaderFixture.configuration(new AdviceSettings(10, 1, 60_000)));
        leader.submit("j", job());
        advance(leader, 100);
        leader.list(List.of(new Kind("other", "x", LARGE).listing(leader.incarnation("a"))));
        leader.takeAdviceRequests().forEach(leader::grantAdvice);
        advance(leader, 200);
        restart(leader);
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 600);
        assertEquals(leader.starts(), List.of(), "a start with a ticket of the earlier life");
        leader.takeAdviceRequests().forEach(leader::grantAdvice);
        assertEquals(leader.startedWorkers(), List.of("a", "a"));
    }

    /** Guards against a quarantine of the earlier incarnation that closes the next one. */
    @Test
    public void quarantineEndsWithRestart() {
        LeaderFixture leader = leading(LeaderFixture.configuration(50));
        leader.submit("j", job());
        advance(leader, 100);
        leader.starts().forEach(s -> leader.completeStart(s, CommandOutcome.UNHEALTHY));
        assertFalse(leader.state().workers().get("a").isUsable(leader.now()));
        restart(leader);
        leader.list(List.of(FIRST.listing(leader.incarnation("a"))));
        advance(leader, 600);
        assertTrue(leader.state().workers().get("a").isUsable(leader.now()));
    }
}
