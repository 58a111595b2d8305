package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;

/**
 * Replays seeded load over the reducer. Callers declare wrong estimates, workers have different
 * speeds and some tasks take much longer than usual.
 */
final class DurationScenario {
    static final String POOR = "poor";
    static final String GOOD = "good";
    private static final double OBJECTIVE_FACTOR = 2;
    private static final long OBJECTIVE_BASE_MILLIS = 400;
    private static final long RESULT_POLL_MILLIS = 50;
    private static final int WORKER_COUNT = 8;
    private static final int TICK_MILLIS = 20;
    private static final int RANK_CHECK_TICKS = 10;

    /**
     * The load.
     *
     * @param seed the seed, from which the jobs follow regardless of the policies
     * @param loadFactor the submitted work relative to the capacity
     * @param tailFraction the fraction of tasks that take seven times as long as usual
     * @param seconds how long jobs are submitted
     */
    record Load(long seed, double loadFactor, double tailFraction, int seconds) {}

    /** A job that was submitted; times are in milliseconds. */
    private record Submitted(String queue, long at, long typicalMillis, long estimateMillis) {
        double objectiveMillis() {
            return OBJECTIVE_FACTOR * typicalMillis + OBJECTIVE_BASE_MILLIS;
        }
    }

    /**
     * What was observed.
     *
     * @param submitted the number of jobs
     * @param onTime the number of jobs done within their objective
     * @param late the number of jobs done later, within three times their objective
     * @param rejected the number of rejected jobs
     * @param rejectedWithRoom the number of jobs rejected although a task fits on a worker and no
     *     other task waits
     * @param ranked the number of jobs that have waited, so that their rank was compared
     * @param wrongRanked the number of jobs whose rank has differed from the one by the real
     *     duration
     */
    record Result(
            int submitted,
            int onTime,
            int late,
            int rejected,
            int rejectedWithRoom,
            int ranked,
            int wrongRanked) {
        double wrongRankShare() {
            return (double) wrongRanked / ranked;
        }

        /** Returns the worth of the jobs that were served; late ones count a fifth. */
        double worth() {
            return (onTime + 0.2 * late) / submitted;
        }
    }

    private record Run(TaskKey task, long runNumber, long endAt) {}

    private final Load load;
    private final SplittableRandom random;
    private final LeaderFixture leader;
    private final Map<String, Submitted> jobs = new HashMap<>();
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final Map<String, List<EndedRun>> ended = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final List<String> workers = new ArrayList<>();
    private final Set<String> done = new HashSet<>();
    private final Set<String> ranked = new HashSet<>();
    private final Set<String> wrongRanked = new HashSet<>();
    private int effectCount;
    private int onTime;
    private int late;
    private int rejected;
    private int rejectedWithRoom;

    private DurationScenario(Load load, String durations) {
        this.load = load;
        this.random = new SplittableRandom(load.seed());
        this.leader =
                LeaderFixture.leading(
                        configuration(),
                        new WorkflowEvent.Snapshot(
                                List.of(), List.of(), List.of(), SilentWorkers.NONE),
                        SchedulingPolicies.named("acceptance", "jobs", durations, "uniform"));
        for (int i = 0; i < WORKER_COUNT; i++) {
            workers.add("w" + i);
        }
    }

    /** Replays {@code load} under the named duration model. */
    static Result run(Load load, String durations) {
        return new DurationScenario(load, durations).run();
    }

    private static CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                List.of(queue(POOR, 0), queue(GOOD, 1)),
                List.of(new CellConfiguration.Service(LeaderFixture.SERVICE, false)),
                List.of(
                        new CellConfiguration.Team(
                                LeaderFixture.TEAM, List.of(), 1_000, Resources.ZERO)),
                100_000);
    }

    private static CellConfiguration.Queue queue(String name, int priority) {
        return new CellConfiguration.Queue(
                name,
                "h",
                "/" + name + "/",
                LeaderFixture.SERVICE,
                priority,
                3,
                3_000,
                OBJECTIVE_FACTOR,
                OBJECTIVE_BASE_MILLIS,
                true,
                Optional.empty());
    }

    private Result run() {
        leader.listWorkers(workers.toArray(String[]::new));
        for (int i = 0; i < 5; i++) {
            step();
        }
        long start = leader.now();
        long nextAt = start;
        int ticks = 0;
        while (leader.now() < start + load.seconds() * 1_000L) {
            while (nextAt <= leader.now()) {
                submit();
                nextAt += nextGapMillis();
            }
            step();
            if (++ticks % RANK_CHECK_TICKS == 0) {
                checkRanks();
            }
        }
        return new Result(
                jobs.size(),
                onTime,
                late,
                rejected,
                rejectedWithRoom,
                ranked.size(),
                wrongRanked.size());
    }

    /** Each job has 4 tasks of 4 cores that take 1 s on average. */
    private long nextGapMillis() {
        double perSecond = load.loadFactor() * WORKER_COUNT;
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    }

    private void submit() {
        boolean isPoor = random.nextBoolean();
        long typicalMillis = 300 + random.nextInt(1_400);
        double error = isPoor ? 0.9 : 0.2;
        double factor = 1 - error + 2 * error * random.nextDouble();
        long estimateMillis = Math.max(1, Math.round(typicalMillis * factor));
        String id = "j" + jobs.size();
        String queue = isPoor ? POOR : GOOD;
        jobs.put(id, new Submitted(queue, leader.now(), typicalMillis, estimateMillis));
        WorkflowDefinition definition =
                TestSteps.job(TestSteps.step(4, Resources.of(4_000, 1_000, 0), estimateMillis));
        boolean hasRoom =
                leader.state().workers().values().stream()
                                .anyMatch(w -> w.freeCapacity().cpuMillis() >= 4_000)
                        && leader.state().jobs().values().stream()
                                .noneMatch(DurationScenario::isWaiting);
        int before = leader.effects.size();
        leader.post(
                new WorkflowEvent.CallArrived(
                        leader.now(),
                        jobs.size(),
                        new WorkflowEvent.Call.Submit(queue, LeaderFixture.TEAM, id, definition)));
        boolean isRejected =
                leader.effects.subList(before, leader.effects.size()).stream()
                        .anyMatch(
                                e ->
                                        e instanceof WorkflowEffect.Answer a
                                                && a.reply()
                                                        instanceof WorkflowEffect.Reply.Rejected);
        rejected += isRejected ? 1 : 0;
        rejectedWithRoom += isRejected && hasRoom ? 1 : 0;
    }

    private void step() {
        leader.advance(TICK_MILLIS);
        leader.storeAll();
        startRuns();
        workers.forEach(this::answerRenewal);
        for (String id : List.copyOf(jobs.keySet())) {
            Job job = leader.state().jobs().get(id);
            FinishedJob finished = leader.state().finished().get(id);
            boolean isDone =
                    (job != null && job.status() == Job.Status.DONE)
                            || (finished != null && finished.status() == Job.Status.DONE);
            if (isDone && done.add(id)) {
                countDone(jobs.get(id));
            }
        }
    }

    private void countDone(Submitted job) {
        long millis = leader.now() + RESULT_POLL_MILLIS - job.at();
        if (millis <= job.objectiveMillis()) {
            onTime++;
        } else if (millis <= Urgency.MAX_OBJECTIVE_FACTOR * job.objectiveMillis()) {
            late++;
        }
    }

    private void startRuns() {
        List<WorkflowEffect> all = leader.effects;
        for (; effectCount < all.size(); effectCount++) {
            if (all.get(effectCount) instanceof WorkflowEffect.Start start) {
                TaskKey task = start.command().task();
                String worker = start.worker().id();
                runs.computeIfAbsent(worker, w -> new ArrayList<>())
                        .add(
                                new Run(
                                        task,
                                        start.command().runNumber(),
                                        leader.now() + actualMillis(task, worker)));
                leader.completeStart(start, CommandOutcome.OK);
            }
        }
    }

    /** Returns the duration, which depends on the task and the worker only. */
    private long actualMillis(TaskKey task, String worker) {
        SplittableRandom draw = new SplittableRandom(load.seed() * 31 + task.hashCode());
        double speed = 0.8 + 0.45 * workers.indexOf(worker) / (WORKER_COUNT - 1);
        int factor = draw.nextDouble() < load.tailFraction() ? 7 : 1;
        return Math.round(jobs.get(task.job()).typicalMillis() * factor / speed);
    }

    private void answerRenewal(String worker) {
        List<Run> running = runs.computeIfAbsent(worker, w -> new ArrayList<>());
        List<EndedRun> reported = ended.computeIfAbsent(worker, w -> new ArrayList<>());
        for (Run run : List.copyOf(running)) {
            if (run.endAt() <= leader.now()) {
                running.remove(run);
                long sequence = sequences.merge(worker, 1L, Long::sum);
                reported.add(
                        new EndedRun(sequence, run.task(), run.runNumber(), RunOutcome.DONE, ""));
            }
        }
        leader.answerLeaseRenewal(
                worker,
                running.stream()
                        .map(r -> new RunningRun(r.task(), r.runNumber(), "", 100))
                        .toList(),
                List.copyOf(reported));
        WorkerNode node = leader.state().workers().get(worker);
        if (node != null) {
            long processed = node.contact().incarnation().processedSequence();
            reported.removeIf(r -> r.sequence() <= processed);
        }
    }

    private static boolean isWaiting(Job job) {
        return job.isActive() && job.occurrences().get(0).get(0).hasWaiting();
    }

    /** Compares the rank of each waiting job with the rank by its real duration. */
    private void checkRanks() {
        WorkflowState state = leader.state();
        for (Job job : state.jobs().values()) {
            if (isWaiting(job)) {
                Submitted submitted = jobs.get(job.id());
                Urgency.Rank rank =
                        Urgency.standing(
                                        state,
                                        job,
                                        job.occurrences().get(0),
                                        state.queueOf(job).orElseThrow())
                                .rank();
                ranked.add(job.id());
                if (rank != rankOf(submitted, state.now())) {
                    wrongRanked.add(job.id());
                }
            }
        }
    }

    private static Urgency.Rank rankOf(Submitted job, long now) {
        double completionMillis = now - job.at() + job.typicalMillis() + RESULT_POLL_MILLIS;
        if (completionMillis > Urgency.MAX_OBJECTIVE_FACTOR * job.objectiveMillis()) {
            return Urgency.Rank.TOO_LATE;
        }
        return completionMillis <= job.objectiveMillis() ? Urgency.Rank.ON_TIME : Urgency.Rank.LATE;
    }
}
