package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;

/** A leader with steps that wait, for tests of what the log and the metrics tell about them. */
final class WaitingFixture {
    /** Cost of a request so high that an entry carries out one request at a time. */
    private static final double ADVICE_MILLIS = 400;

    private static final long TICKET_VALID_MILLIS = 2_000;

    final LeaderFixture leader;

    private WaitingFixture(LeaderFixture leader) {
        this.leader = leader;
    }

    static CellConfiguration configuration(
            long version, boolean withQueue, boolean withAdvice, Resources limit) {
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
                        withAdvice
                                ? Optional.of(
                                        new AdviceSettings(ADVICE_MILLIS, 1, TICKET_VALID_MILLIS))
                                : Optional.empty());
        return new CellConfiguration(
                version,
                withQueue ? List.of(queue) : List.of(),
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(new CellConfiguration.Team(LeaderFixture.TEAM, List.of(), 50, limit)),
                100_000);
    }

    /** Returns a leader of a queue without advice, with {@code workers} that have answered. */
    static WaitingFixture withoutAdvice(Resources limit, String... workers) {
        return started(configuration(1, true, false, limit), workers);
    }

    /** Returns a leader of a queue with advice, with {@code workers} that have answered. */
    static WaitingFixture withAdvice(String... workers) {
        return started(configuration(1, true, true, Resources.ZERO), workers);
    }

    private static WaitingFixture started(CellConfiguration configuration, String... workers) {
        WaitingFixture fixture = leading(configuration, List.of());
        fixture.leader.listWorkers(workers);
        fixture.advance(200, workers);
        return fixture;
    }

    /** Returns a leader that has read {@code jobs} and {@code fleet} and has called no worker. */
    static WaitingFixture takeover(Resources limit, List<Job> jobs, String... fleet) {
        return leading(configuration(1, true, false, limit), jobs, fleet);
    }

    private static WaitingFixture leading(
            CellConfiguration configuration, List<Job> jobs, String... fleet) {
        List<WorkerNode.Listing> listings = Stream.of(fleet).map(LeaderFixture::worker).toList();
        return new WaitingFixture(
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(jobs, List.of(), listings, SilentWorkers.NONE)));
    }

    /** Returns a leader whose job {@code j} has a task on worker {@code a} without a ticket. */
    static WaitingFixture awaitingRenewal() {
        WaitingFixture fixture = withAdvice("a");
        fixture.submit("j", LeaderFixture.job(16));
        fixture.advance(200, "a");
        fixture.answerAdvice(Optional.of(Map.of("a", "ticket-a")));
        LeaderFixture leader = fixture.leader;
        leader.advance(100);
        assertEquals(leader.startedWorkers(), List.of("a"));
        leader.completeStart(leader.starts().get(0), CommandOutcome.NO_TICKET);
        fixture.advance(200, "a");
        assertEquals(leader.adviceRequests().size(), 2, "no renewal of the rejected ticket");
        return fixture;
    }

    /** Submits a job whose acceptance is stored. */
    void submit(String id, WorkflowDefinition definition) {
        leader.submit(id, definition);
        leader.advance(20);
        leader.storeAll();
    }

    void configure(CellConfiguration configuration) {
        leader.post(
                new WorkflowEvent.ConfigurationRead(
                        leader.now(), leader.now(), Optional.of(configuration)));
    }

    /** Answers the newest advice request with {@code tickets}; empty if it fails. */
    void answerAdvice(Optional<Map<String, String>> tickets) {
        List<WorkflowEffect.RequestAdvice> requests = leader.adviceRequests();
        WorkflowEffect.RequestAdvice request = requests.get(requests.size() - 1);
        leader.post(
                new WorkflowEvent.AdviceCompleted(
                        leader.now(), request.fence(), request.number(), tickets));
    }

    /**
     * Advances the time by {@code millis} while the store and {@code workers} answer. The workers
     * report each run that was started on them.
     */
    void advance(long millis, String... workers) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(100);
            answer(workers);
        }
    }

    /** Answers the commits and the lease renewals of {@code workers} that are in flight. */
    void answer(String... workers) {
        for (String worker : workers) {
            leader.answerLeaseRenewal(worker, runs(worker), List.of());
        }
        leader.storeAll();
    }

    private List<RunningRun> runs(String worker) {
        List<RunningRun> runs = new ArrayList<>();
        WorkerNode node = leader.state().workers().get(worker);
        for (Map.Entry<TaskKey, WorkerNode.Charge> charge : node.charges().entrySet()) {
            TaskKey task = charge.getKey();
            Task.Phase phase = leader.state().jobs().get(task.job()).task(task).phase();
            if (phase == Task.Phase.STARTING || phase == Task.Phase.RUNNING) {
                runs.add(new RunningRun(task, charge.getValue().runNumber(), "", 100));
            }
        }
        return runs;
    }

    /** Returns the log events of this kind. */
    List<WorkflowEffect.LogEvent> logged(String event) {
        return leader.effects.stream()
                .filter(WorkflowEffect.LogEvent.class::isInstance)
                .map(WorkflowEffect.LogEvent.class::cast)
                .filter(e -> e.event().equals(event))
                .toList();
    }

    /** Returns the value of {@code key} in {@code logEvent}. */
    static String field(WorkflowEffect.LogEvent logEvent, String key) {
        int index = logEvent.fields().indexOf(key);
        return index < 0 ? "" : logEvent.fields().get(index + 1);
    }
}
