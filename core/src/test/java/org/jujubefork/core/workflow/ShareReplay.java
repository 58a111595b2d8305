package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;

/**
 * Replays the load of several teams over the reducer, without a network. The workers have 16 cores
 * each, carry out all starts at once and report each end in the step in which it happens.
 */
final class ShareReplay {
    private static final long STEP_MILLIS = 20;

    /** Time in which a new leader reaches the workers. */
    private static final long START_UP_MILLIS = 200;

    /** A run on a worker. */
    private record Run(TaskKey task, long runNumber, String worker, long endsAt) {}

    /** A submitted job. */
    private record Submitted(String team, long at) {}

    /** What happened to the jobs of a team. */
    static final class Outcome {
        int accepted;
        int started;

        /** The time from the submission to the first start of each started job. */
        final List<Long> waitMillis = new ArrayList<>();

        /** The time after which each rejected caller may return. */
        final List<Long> retryAfterMillis = new ArrayList<>();

        /** Returns how many jobs waited longer than {@code millis} or have not started. */
        long countWaiting(long millis) {
            return accepted - waitMillis.stream().filter(w -> w <= millis).count();
        }

        @Override
        public String toString() {
            return "accepted %d, rejected %d, waited over 0.5 s: %d, over 2 s: %d, longest %d ms"
                    .formatted(
                            accepted,
                            retryAfterMillis.size(),
                            countWaiting(500),
                            countWaiting(2_000),
                            waitMillis.stream().mapToLong(w -> w).max().orElse(0));
        }
    }

    private final CellConfiguration configuration;
    private final SchedulingPolicies policies;
    private final List<String> workers;
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Submitted> submitted = new HashMap<>();
    private final Map<Long, String> openRequests = new HashMap<>();
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final List<WorkflowEffect.LogEvent> logEvents = new ArrayList<>();
    private LeaderFixture leader;
    private long term = 2;
    private long nextSequence = 1;
    private int nextJob;

    /**
     * Creates a replay whose first leader has reached all workers.
     *
     * @param share the name of the share policy
     * @param weights the weights of the teams, which are called t0, t1 and so on
     */
    ShareReplay(String share, int workerCount, double... weights) {
        this.configuration = configuration(weights);
        this.policies =
                SchedulingPolicies.named(
                        SchedulingPolicies.DEFAULT_ORDER,
                        share,
                        SchedulingPolicies.DEFAULT_DURATIONS,
                        SchedulingPolicies.DEFAULT_RETRY);
        this.workers = IntStream.range(0, workerCount).mapToObj(i -> "w" + i).toList();
        lead(LeaderFixture.START_MILLIS, List.of());
        advance(START_UP_MILLIS);
    }

    private static CellConfiguration configuration(double... weights) {
        List<CellConfiguration.Team> teams = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            teams.add(new CellConfiguration.Team("t" + i, List.of(), weights[i], Resources.ZERO));
        }
        CellConfiguration base = LeaderFixture.configuration(1);
        return new CellConfiguration(1, base.queues(), base.services(), teams, base.maxBodyBytes());
    }

    private void lead(long now, List<Job> jobs) {
        WorkflowState initial =
                WorkflowState.initial("e0", 1_000, policies, Evacuations.NONE).withTime(now);
        List<WorkerNode.Listing> fleet = workers.stream().map(LeaderFixture::worker).toList();
        leader =
                LeaderFixture.leading(
                        configuration,
                        new WorkflowEvent.Snapshot(jobs, List.of(), fleet, SilentWorkers.NONE),
                        initial,
                        term);
        leader.listWorkers(workers.toArray(String[]::new));
    }

    /** Lets another entry become the leader; it knows the stored jobs and asks all workers. */
    void takeOver() {
        leader.storeAll();
        List<Job> stored = new ArrayList<>();
        for (Job job : leader.state().jobs().values()) {
            if (job.stored() && job.isActive()) {
                stored.add(
                        Job.submitted(
                                        job.id(),
                                        job.queue(),
                                        job.team(),
                                        job.definition(),
                                        job.acceptance())
                                .asStored());
            }
        }
        term++;
        openRequests.clear();
        lead(leader.now(), stored);
        advance(START_UP_MILLIS);
    }

    WorkflowState state() {
        return leader.state();
    }

    long now() {
        return leader.now();
    }

    Outcome outcome(String team) {
        return outcomes.computeIfAbsent(team, t -> new Outcome());
    }

    /** Starts the outcomes of all teams anew; jobs that were submitted before do not count. */
    void clearOutcomes() {
        outcomes.clear();
        submitted.clear();
    }

    /** Returns the log events of the kind {@code name}. */
    List<WorkflowEffect.LogEvent> logEvents(String name) {
        return logEvents.stream().filter(e -> e.event().equals(name)).toList();
    }

    /** Submits a job of {@code team}. */
    void submit(String team, WorkflowDefinition definition) {
        String id = String.format("%016x", nextJob++);
        submitted.put(id, new Submitted(team, leader.now()));
        openRequests.put(leader.submit(LeaderFixture.QUEUE, team, id, definition), id);
    }

    /** Returns the CPU of the runs of {@code team}, in millicores. */
    long runningMillicores(String team) {
        return TeamUsage.of(leader.state()).of(team).cpuMillis();
    }

    /** Advances the time by {@code millis}. */
    void advance(long millis) {
        for (long end = leader.now() + millis; leader.now() < end; ) {
            leader.advance(STEP_MILLIS);
            leader.storeAll();
            carryOutEffects();
            reportWorkers();
            leader.storeAll();
        }
    }

    private void carryOutEffects() {
        List<WorkflowEffect> effects = List.copyOf(leader.effects);
        leader.effects.clear();
        for (WorkflowEffect effect : effects) {
            switch (effect) {
                case WorkflowEffect.Start start -> start(start);
                case WorkflowEffect.Answer answer -> answered(answer);
                case WorkflowEffect.LogEvent logEvent -> logEvents.add(logEvent);
                default -> {
                    // The fixture handles the other effects.
                }
            }
        }
    }

    private void start(WorkflowEffect.Start start) {
        TaskKey task = start.command().task();
        Job job = leader.state().jobs().get(task.job());
        runs.add(
                new Run(
                        task,
                        start.command().runNumber(),
                        start.worker().id(),
                        leader.now() + job.step(task.stepKey()).estimateMillis()));
        leader.completeStart(start, CommandOutcome.OK);
        Submitted origin = submitted.remove(task.job());
        if (origin != null) {
            outcome(origin.team()).started++;
            outcome(origin.team()).waitMillis.add(leader.now() - origin.at());
        }
    }

    private void answered(WorkflowEffect.Answer answer) {
        String id = openRequests.remove(answer.requestId());
        Optional<Submitted> origin = Optional.ofNullable(submitted.get(id));
        if (origin.isPresent()) {
            Outcome outcome = outcome(origin.get().team());
            if (answer.reply() instanceof Reply.Rejected rejected) {
                outcome.retryAfterMillis.add(rejected.retryAfterMillis());
                submitted.remove(id);
            } else {
                outcome.accepted++;
            }
        }
    }

    private void reportWorkers() {
        Map<String, List<EndedRun>> ended = new HashMap<>();
        for (Iterator<Run> i = runs.iterator(); i.hasNext(); ) {
            Run run = i.next();
            if (run.endsAt() <= leader.now()) {
                i.remove();
                ended.computeIfAbsent(run.worker(), w -> new ArrayList<>())
                        .add(
                                new EndedRun(
                                        nextSequence++,
                                        run.task(),
                                        run.runNumber(),
                                        RunOutcome.DONE,
                                        ""));
            }
        }
        Map<String, List<RunningRun>> running = new HashMap<>();
        for (Run run : runs) {
            running.computeIfAbsent(run.worker(), w -> new ArrayList<>())
                    .add(new RunningRun(run.task(), run.runNumber(), "", 100));
        }
        for (String worker : workers) {
            leader.answerLeaseRenewal(
                    worker,
                    running.getOrDefault(worker, List.of()),
                    ended.getOrDefault(worker, List.of()));
        }
    }
}
