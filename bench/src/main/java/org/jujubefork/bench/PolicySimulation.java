package org.jujubefork.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.StopMode;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.TreePVector;

/**
 * Simulates a workload on a virtual clock: decisions come from the reducer, while workers, requests
 * and jobs are simulated with random arrival and run times.
 */
final class PolicySimulation {
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long SAMPLE_INTERVAL_MILLIS = 5_000;
    private static final long CHECKPOINT_DURATION_MILLIS = 2_000;
    private static final int BATCH_BACKLOG_PER_TEAM = 40;
    private static final int SERVICE_TASKS_PER_TEAM = 10;
    private static final Resources[] BATCH_TASK_SIZES = {
        Resources.of(2_000, 6_000, 0),
        Resources.of(4_000, 24_000, 0),
        Resources.of(7_000, 20_000, 0)
    };
    private static final Resources SERVICE_TASK_SIZE = Resources.of(2_000, 8_000, 0);
    private static final Resources GANG_TASK_SIZE = Resources.of(10_000, 40_000, 0);

    private final Workload workload;
    private final Random random;
    private final PolicyMetrics metrics;
    private final PriorityQueue<ScheduledAction> pendingActions = new PriorityQueue<>();
    private final Map<WorkerId, List<EndedTask>> unreportedCompletions = new HashMap<>();
    private final Map<JobId, Long> remainingRunMillis = new HashMap<>();
    private final Map<TaskId, Long> startedAtMillis = new HashMap<>();
    private final Map<JobId, Long> submittedAtMillis = new HashMap<>();
    private final Map<RequestId, Long> arrivedAtMillis = new HashMap<>();
    private State state;
    private long nowMillis;
    private long sequence;
    private int nextId;

    /**
     * An action at a point of virtual time.
     *
     * @param atMillis virtual time of the action
     * @param order sequence number; actions at the same time run in the order of scheduling
     * @param action the action, which runs when the clock reaches {@code atMillis}
     */
    private record ScheduledAction(long atMillis, long order, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    PolicySimulation(Workload workload, PolicyVariant variant, long seed) {
        this.workload = workload;
        this.random = new Random(seed);
        this.metrics = new PolicyMetrics(workload);
        this.state = PolicyCell.initialState(workload, variant);
    }

    /** Runs the workload until {@link Workload#END_MILLIS} and returns its metrics. */
    PolicyMetrics run() {
        apply(new FleetEvent.WorkersListed(0, PolicyCell.workerListings()));
        schedule(TICK_INTERVAL_MILLIS, this::tick);
        schedule(9_500, () -> apply(UnrestrictedBudgets.of(state)));
        schedule(10_000, this::enqueueServices);
        schedule(11_000, this::refillBacklogs);
        schedule(11_000, this::sendRequest);
        schedule(12_000, this::submitGang);
        schedule(Workload.MEASURE_FROM_MILLIS, this::sample);
        while (!pendingActions.isEmpty()
                && pendingActions.peek().atMillis() <= Workload.END_MILLIS) {
            ScheduledAction next = pendingActions.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        for (ShardState shard : state.shards().values()) {
            for (var lane : shard.queue().lanes().values()) {
                lane.values()
                        .forEach(
                                w ->
                                        metrics.recordStillWaiting(
                                                w.kind(), w.lane(), waitedMillis(w)));
            }
        }
        return metrics;
    }

    private long waitedMillis(QueuedWork work) {
        return nowMillis - work.waitingSinceMillis();
    }

    private void schedule(long atMillis, Runnable action) {
        pendingActions.add(new ScheduledAction(atMillis, sequence++, action));
    }

    private long exponentialMillis(double meanMillis) {
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * meanMillis));
    }

    private void apply(Event event) {
        Transition transition = Reducer.reduce(state, event);
        state = transition.state();
        for (Effect effect : transition.effects()) {
            switch (effect) {
                case WorkerEffect.AcquireLease e -> scheduleRenewal(e.worker(), e.epoch());
                case WorkerEffect.RenewLease e -> scheduleRenewal(e.worker(), e.epoch());
                case WorkerEffect.StartTask e -> handleStart(e);
                case WorkerEffect.StopTask e -> handleStop(e);
                default -> {}
            }
        }
    }

    private void tick() {
        apply(new Tick(nowMillis, random.nextLong()));
        schedule(nowMillis + TICK_INTERVAL_MILLIS, this::tick);
    }

    private void scheduleRenewal(WorkerId worker, Epoch epoch) {
        schedule(nowMillis + 1, () -> renewLease(worker, epoch));
    }

    private void renewLease(WorkerId worker, Epoch epoch) {
        List<EndedTask> completions =
                Optional.ofNullable(unreportedCompletions.remove(worker)).orElse(List.of());
        List<ReportedTask> running = new ArrayList<>();
        for (ShardState shard : state.shards().values()) {
            if (shard.workers().containsKey(worker)) {
                for (TaskId id : shard.workers().get(worker).tasks()) {
                    TaskSpec spec = shard.tasks().get(id).spec();
                    boolean completed =
                            completions.stream().anyMatch(e -> e.spec().id().equals(id));
                    if (!completed && !spec.kind().isRequest()) {
                        running.add(new ReportedTask(spec, spec.size().scaled(0.8), 0.5));
                    }
                }
            }
        }
        apply(
                new FleetEvent.LeaseGranted(
                        nowMillis,
                        worker,
                        epoch,
                        nowMillis,
                        new WorkerReport(
                                1,
                                false,
                                PolicyCell.WORKER_CAPACITY,
                                PolicyCell.SLOTS_PER_WORKER,
                                TreePVector.from(running),
                                TreePVector.from(completions))));
        for (EndedTask task : completions) {
            if (task.reason() == EndReason.CHECKPOINTED) {
                JobId job = task.spec().jobTask().orElseThrow().job();
                metrics.recordPreemption();
                // Team identifiers have the form "team-N".
                enqueue(
                        job,
                        Integer.parseInt(task.spec().team().value().substring(5)),
                        WorkKind.BATCH,
                        task.spec().size());
            }
        }
    }

    private void handleStart(WorkerEffect.StartTask start) {
        TaskSpec spec = start.task();
        TaskId id = spec.id();
        startedAtMillis.put(id, nowMillis);
        if (spec.kind().isRequest()) {
            RequestId request = start.request().orElseThrow();
            boolean urgent = spec.queue().value().startsWith("urgent");
            metrics.recordStart(
                    spec.kind(), urgent, nowMillis - arrivedAtMillis.remove(request), nowMillis);
            schedule(
                    nowMillis + exponentialMillis(60),
                    () ->
                            apply(
                                    new TaskEvent.RequestFinished(
                                            nowMillis, start.worker(), id, true, 1_000)));
            return;
        }
        schedule(
                nowMillis + 2,
                () -> apply(new TaskEvent.StartAccepted(nowMillis, start.worker(), id)));
        JobId job = spec.jobTask().orElseThrow().job();
        if (spec.kind() != WorkKind.SERVICE) {
            schedule(
                    nowMillis + remainingRunMillis.get(job),
                    () -> completeTask(start.worker(), spec, EndReason.SUCCEEDED));
        }
        long submitted = submittedAtMillis.getOrDefault(job, nowMillis);
        metrics.recordStart(spec.kind(), false, nowMillis - submitted, nowMillis);
    }

    private void handleStop(WorkerEffect.StopTask stop) {
        if (stop.mode() != StopMode.CHECKPOINT) {
            return;
        }
        for (ShardState shard : state.shards().values()) {
            Optional<RunningTask> task = shard.task(stop.task());
            if (task.isPresent()) {
                TaskSpec spec = task.get().spec();
                schedule(
                        nowMillis + CHECKPOINT_DURATION_MILLIS,
                        () -> completeCheckpoint(stop.worker(), spec));
            }
        }
    }

    private void completeCheckpoint(WorkerId worker, TaskSpec spec) {
        Long started = startedAtMillis.get(spec.id());
        if (started != null) {
            JobId job = spec.jobTask().orElseThrow().job();
            remainingRunMillis.put(
                    job, Math.max(1, remainingRunMillis.get(job) - (nowMillis - started)));
            completeTask(worker, spec, EndReason.CHECKPOINTED);
        }
    }

    /** Completes a task unless it is complete; the next lease renewal reports the completion. */
    private void completeTask(WorkerId worker, TaskSpec spec, EndReason reason) {
        if (startedAtMillis.remove(spec.id()) != null) {
            unreportedCompletions
                    .computeIfAbsent(worker, w -> new ArrayList<>())
                    .add(new EndedTask(spec, reason, "", 1));
        }
    }

    private void enqueueServices() {
        for (int team = 0; team < workload.weights().size(); team++) {
            for (int i = 0; i < SERVICE_TASKS_PER_TEAM; i++) {
                enqueue(newJob(0), team, WorkKind.SERVICE, SERVICE_TASK_SIZE);
            }
        }
    }

    /** Tops up the batch backlog of each team every second, so that the fleet stays full. */
    private void refillBacklogs() {
        int teams = workload.weights().size();
        for (int team = 0; team < teams; team++) {
            boolean late = team >= teams - workload.lateTeams();
            if (late && nowMillis < Workload.LATE_START_MILLIS) {
                continue;
            }
            for (int i = queuedBatchTasks(team); i < BATCH_BACKLOG_PER_TEAM; i++) {
                Resources size = BATCH_TASK_SIZES[random.nextInt(BATCH_TASK_SIZES.length)];
                enqueue(
                        newJob(exponentialMillis(workload.meanBatchTaskMillis())),
                        team,
                        WorkKind.BATCH,
                        size);
            }
        }
        schedule(nowMillis + 1_000, this::refillBacklogs);
    }

    private int queuedBatchTasks(int team) {
        return state.shards().values().stream()
                .mapToInt(s -> s.queue().queuedCount(PolicyCell.queueId("batch", team)))
                .sum();
    }

    private void submitGang() {
        int team = random.nextInt(workload.weights().size());
        JobId job = newJob(60_000);
        ShardState shard =
                state.shards().values().stream().skip(random.nextInt(3)).findFirst().orElseThrow();
        QueuedWork gang =
                new QueuedWork.Gang(
                        job,
                        workload.gangTasks(),
                        1,
                        PolicyCell.teamId(team),
                        PolicyCell.queueId("gang", team),
                        GANG_TASK_SIZE,
                        "",
                        nowMillis);
        submittedAtMillis.put(job, nowMillis);
        state = state.withShard(shard.withQueue(shard.queue().plus(gang)));
        schedule(
                nowMillis + exponentialMillis(60_000 / workload.gangsPerMinute()),
                this::submitGang);
    }

    private void sendRequest() {
        int team = random.nextInt(workload.weights().size());
        String kind = random.nextDouble() < workload.urgentFraction() ? "urgent" : "lookup";
        RequestId id = RequestId.of("r" + nextId++);
        arrivedAtMillis.put(id, nowMillis);
        apply(
                new RequestEvent.RequestArrived(
                        nowMillis,
                        id,
                        PolicyCell.queueId(kind, team),
                        Optional.empty(),
                        Optional.empty(),
                        random.nextLong()));
        schedule(
                nowMillis + exponentialMillis(1_000 / workload.lookupsPerSecond()),
                this::sendRequest);
    }

    private JobId newJob(long runMillis) {
        JobId job = JobId.of("j" + nextId++);
        remainingRunMillis.put(job, runMillis);
        return job;
    }

    /** Adds a task to the shard with the shortest queue. */
    private void enqueue(JobId job, int team, WorkKind kind, Resources size) {
        ShardId id = null;
        int shortestLength = Integer.MAX_VALUE;
        for (ShardState shard : state.shards().values()) {
            if (shard.queue().size() < shortestLength) {
                shortestLength = shard.queue().size();
                id = shard.id();
            }
        }
        ShardState shard = state.shards().get(id);
        QueuedWork task =
                new QueuedWork.Task(
                        job,
                        0,
                        1,
                        PolicyCell.teamId(team),
                        PolicyCell.queueId(PolicyCell.kindName(kind), team),
                        kind,
                        size,
                        "",
                        nowMillis);
        submittedAtMillis.put(job, nowMillis);
        state = state.withShard(shard.withQueue(shard.queue().plus(task)));
    }

    private void sample() {
        metrics.sample(state);
        schedule(nowMillis + SAMPLE_INTERVAL_MILLIS, this::sample);
    }
}
