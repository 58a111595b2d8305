package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.testng.annotations.Test;

/**
 * Guards against an accepted job that never starts. Its task has capacity on a worker and waits for
 * a new ticket, and at the moment of the answer the task cannot be started.
 */
public final class AssignedTaskTest {
    private static final long TICKET_VALID_MILLIS = 2_000;

    /** Time within which a task starts that may start and has a free worker. */
    private static final long START_MILLIS = 400;

    private static final String JOB = "j";

    private static CellConfiguration configuration(long version, boolean withQueue) {
        return configuration(version, withQueue, Resources.ZERO);
    }

    private static CellConfiguration configuration(
            long version, boolean withQueue, Resources limit) {
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
                        Optional.of(new AdviceSettings(10, 1, TICKET_VALID_MILLIS)));
        return new CellConfiguration(
                version,
                withQueue ? List.of(queue) : List.of(),
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(new CellConfiguration.Team(LeaderFixture.TEAM, List.of(), 50, limit)),
                100_000);
    }

    /**
     * Returns a leader whose job waits for new tickets, because workers have rejected the first
     * starts of its {@code taskCount} tasks, which need a whole worker each.
     */
    private static LeaderFixture awaitingRenewal(int taskCount, boolean isGang) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        configuration(1, true),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE));
        leader.listWorkers("a", "b");
        advance(leader, 200);
        leader.submit(JOB, LeaderFixture.job(taskCount, 16, isGang));
        advance(leader, 200);
        leader.grantAdvice(leader.adviceRequests().get(0));
        advance(leader, 200);
        leader.starts().forEach(s -> leader.completeStart(s, CommandOutcome.NO_TICKET));
        advance(leader, 200);
        assertEquals(leader.adviceRequests().size(), 2, "no renewal of the rejected ticket");
        leader.effects.removeIf(WorkflowEffect.Start.class::isInstance);
        return leader;
    }

    /** Returns the newest advice request, which renews tickets. */
    private static WorkflowEffect.RequestAdvice renewal(LeaderFixture leader) {
        return leader.adviceRequests().get(leader.adviceRequests().size() - 1);
    }

    /** Advances the time while both workers and the store answer. */
    private static void advance(LeaderFixture leader, long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            leader.answerLeaseRenewal("a");
            leader.answerLeaseRenewal("b");
            leader.storeAll();
        }
    }

    private static void configure(LeaderFixture leader, CellConfiguration configuration) {
        leader.post(
                new WorkflowEvent.ConfigurationRead(
                        leader.now(), leader.now(), Optional.of(configuration)));
    }

    @Test
    public void taskStartsAfterItsQueueWasRemovedAndRestored() {
        LeaderFixture leader = awaitingRenewal(1, false);
        configure(leader, configuration(2, false));
        advance(leader, 400);
        leader.grantAdvice(renewal(leader));
        advance(leader, 500);
        assertEquals(leader.startedWorkers(), List.of(), "started without a queue");
        configure(leader, configuration(3, true));
        advance(leader, START_MILLIS);
        // The validity of a ticket is not known without its queue, so it is renewed once more.
        leader.grantAdvice(renewal(leader));
        advance(leader, START_MILLIS);
        assertEquals(leader.startedWorkers().size(), 1);
    }

    @Test
    public void taskStartsAfterLeadershipWasNotConfirmed() {
        LeaderFixture leader = awaitingRenewal(1, false);
        // A tick after a pause of this length discards the confirmation of the leadership.
        leader.pause(900);
        leader.grantAdvice(renewal(leader));
        assertEquals(leader.startedWorkers(), List.of(), "started without a confirmed leadership");
        advance(leader, START_MILLIS);
        assertEquals(leader.startedWorkers().size(), 1);
    }

    /** Guards against a gang that starts while one of its members has no worker. */
    @Test
    public void partOfGangDoesNotStart() {
        LeaderFixture leader = awaitingRenewal(2, true);
        leader.failLeaseRenewal("a", CommandOutcome.OTHER_WORKER);
        leader.grantAdvice(renewal(leader));
        assertEquals(leader.startedWorkers(), List.of(), "only a part of the gang has started");
    }

    /** Guards against a start on a worker that began to drain during the wait for the ticket. */
    @Test
    public void taskDoesNotStartOnWorkerThatDrains() {
        LeaderFixture leader = awaitingRenewal(1, false);
        String assigned = leader.state().jobs().get(JOB).task(new TaskKey(JOB, 0, 0, 0)).worker();
        leader.listDraining(assigned, "a", "b");
        leader.grantAdvice(renewal(leader));
        assertEquals(leader.startedWorkers(), List.of(), "started on a worker that drains");
        advance(leader, START_MILLIS);
        leader.grantAdvice(renewal(leader));
        advance(leader, START_MILLIS);
        assertEquals(leader.startedWorkers(), List.of(assigned.equals("a") ? "b" : "a"));
    }

    /** Guards against a start beyond a limit that was lowered during the wait for the ticket. */
    @Test
    public void taskDoesNotStartBeyondLoweredLimit() {
        LeaderFixture leader = awaitingRenewal(2, false);
        configure(leader, configuration(2, true, Resources.of(16_000, 0, 0)));
        advance(leader, START_MILLIS);
        leader.grantAdvice(renewal(leader));
        advance(leader, START_MILLIS);
        assertEquals(leader.startedWorkers().size(), 1, "tasks of 16 cores with a limit of 16");
    }
}
