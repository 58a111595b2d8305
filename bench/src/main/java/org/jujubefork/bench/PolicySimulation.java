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

/** Runs a workload through the reducer on a virtual clock, with workers that run for set times. */
final class PolicySimulation {
    private static final long TICK_MILLIS = 200;
    private static final long SAMPLE_MILLIS = 5_000;
    private static final long CHECKPOINT_MILLIS = 2_000;
    private static final int BACKLOG_PER_TEAM = 40;
    private static final int SERVICE_REPLICAS = 10;
    private static final Resources[] BATCH_SIZES = {
        Resources.of(2_000, 6_000, 0),
        Resources.of(4_000, 24_000, 0),
        Resources.of(7_000, 20_000, 0)
    };
    private static final Resources SERVICE_SIZE = Resources.of(2_000, 8_000, 0);
    private static final Resources GANG_SIZE = Resources.of(10_000, 40_000, 0);

    private final Workload workload;
    private final Random random;
    private final PolicyMeasures measures;
    private final PriorityQueue<Timed> events = new PriorityQueue<>();
    private final Map<WorkerId, List<EndedTask>> ended = new HashMap<>();
    private final Map<JobId, Long> runMillis = new HashMap<>();
    private final Map<TaskId, Long> startedMillis = new HashMap<>();
    private final Map<JobId, Long> submitted = new HashMap<>();
    private final Map<RequestId, Long> arrivedMillis = new HashMap<>();
    private State state;
    private long now;
    private long sequence;
    private int number;

    /**
     * Something that happens at a time.
     *
     * @param atMillis when
     * @param order breaks ties in the order of scheduling
     * @param action what
     */
    private record Timed(long atMillis, long order, Runnable action) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    PolicySimulation(Workload workload, PolicyChoice choice, long seed) {
        this.workload = workload;
        this.random = new Random(seed);
        this.measures = new PolicyMeasures(workload);
        this.state = PolicyCell.initial(workload, choice);
    }

    /** Runs the workload to its end. */
    PolicyMeasures run() {
        apply(new FleetEvent.WorkersListed(0, PolicyCell.listings()));
        at(TICK_MILLIS, this::tick);
        at(9_500, () -> apply(WholeBudgets.of(state)));
        at(10_000, this::startServices);
        at(11_000, this::refill);
        at(11_000, this::arrive);
        at(12_000, this::submitGang);
        at(Workload.MEASURE_FROM_MILLIS, this::sample);
        while (!events.isEmpty() && events.peek().atMillis() <= Workload.END_MILLIS) {
            Timed next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        for (ShardState shard : state.shards().values()) {
            for (var lane : shard.queue().lanes().values()) {
                lane.values().forEach(w -> measures.waited(w.kind(), w.lane(), since(w)));
            }
        }
        return measures;
    }

    private long since(QueuedWork work) {
        return now - work.waitingSinceMillis();
    }

    private void at(long millis, Runnable action) {
        events.add(new Timed(millis, sequence++, action));
    }

    private long exponential(double meanMillis) {
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * meanMillis));
    }

    private void apply(Event event) {
        Transition transition = Reducer.reduce(state, event);
        state = transition.state();
        for (Effect effect : transition.effects()) {
            switch (effect) {
                case WorkerEffect.AcquireLease e -> renewLater(e.worker(), e.epoch());
                case WorkerEffect.RenewLease e -> renewLater(e.worker(), e.epoch());
                case WorkerEffect.StartTask e -> start(e);
                case WorkerEffect.StopTask e -> stop(e);
                default -> {}
            }
        }
    }

    private void tick() {
        apply(new Tick(now, random.nextLong()));
        at(now + TICK_MILLIS, this::tick);
    }

    private void renewLater(WorkerId worker, Epoch epoch) {
        at(now + 1, () -> renew(worker, epoch));
    }

    private void renew(WorkerId worker, Epoch epoch) {
        List<EndedTask> over = Optional.ofNullable(ended.remove(worker)).orElse(List.of());
        List<ReportedTask> running = new ArrayList<>();
        for (ShardState shard : state.shards().values()) {
            if (shard.workers().containsKey(worker)) {
                for (TaskId id : shard.workers().get(worker).tasks()) {
                    TaskSpec spec = shard.tasks().get(id).spec();
                    boolean gone = over.stream().anyMatch(e -> e.spec().id().equals(id));
                    if (!gone && !spec.kind().isRequest()) {
                        running.add(new ReportedTask(spec, spec.size().scaled(0.8), 0.5));
                    }
                }
            }
        }
        apply(
                new FleetEvent.LeaseGranted(
                        now,
                        worker,
                        epoch,
                        now,
                        new WorkerReport(
                                1,
                                false,
                                PolicyCell.WORKER,
                                PolicyCell.SLOTS,
                                TreePVector.from(running),
                                TreePVector.from(over))));
        for (EndedTask task : over) {
            if (task.reason() == EndReason.CHECKPOINTED) {
                JobId job = task.spec().job().orElseThrow().job();
                measures.preempted();
                enqueue(
                        job,
                        Integer.parseInt(task.spec().team().value().substring(5)),
                        WorkKind.BATCH,
                        task.spec().size());
            }
        }
    }

    private void start(WorkerEffect.StartTask start) {
        TaskSpec spec = start.task();
        TaskId id = spec.id();
        startedMillis.put(id, now);
        if (spec.kind().isRequest()) {
            RequestId request = start.request().orElseThrow();
            boolean urgent = spec.queue().value().startsWith("urgent");
            measures.started(spec.kind(), urgent, now - arrivedMillis.remove(request), now);
            at(
                    now + exponential(60),
                    () ->
                            apply(
                                    new TaskEvent.RequestFinished(
                                            now, start.worker(), id, true, 1_000)));
            return;
        }
        at(now + 2, () -> apply(new TaskEvent.StartAccepted(now, start.worker(), id)));
        JobId job = spec.job().orElseThrow().job();
        if (spec.kind() != WorkKind.SERVICE) {
            at(now + runMillis.get(job), () -> end(start.worker(), spec, EndReason.SUCCEEDED));
        }
        long since = submitted.getOrDefault(job, now);
        measures.started(spec.kind(), false, now - since, now);
    }

    private void stop(WorkerEffect.StopTask stop) {
        if (stop.mode() != StopMode.CHECKPOINT) {
            return;
        }
        for (ShardState shard : state.shards().values()) {
            Optional<RunningTask> task = shard.task(stop.task());
            if (task.isPresent()) {
                TaskSpec spec = task.get().spec();
                at(now + CHECKPOINT_MILLIS, () -> checkpointed(stop.worker(), spec));
            }
        }
    }

    private void checkpointed(WorkerId worker, TaskSpec spec) {
        Long started = startedMillis.get(spec.id());
        if (started != null) {
            JobId job = spec.job().orElseThrow().job();
            runMillis.put(job, Math.max(1, runMillis.get(job) - (now - started)));
            end(worker, spec, EndReason.CHECKPOINTED);
        }
    }

    /** Ends a task once; the worker tells the owner with its next renewal. */
    private void end(WorkerId worker, TaskSpec spec, EndReason reason) {
        if (startedMillis.remove(spec.id()) != null) {
            ended.computeIfAbsent(worker, w -> new ArrayList<>())
                    .add(new EndedTask(spec, reason, "", 1));
        }
    }

    private void startServices() {
        for (int team = 0; team < workload.weights().size(); team++) {
            for (int i = 0; i < SERVICE_REPLICAS; i++) {
                enqueue(newJob(0), team, WorkKind.SERVICE, SERVICE_SIZE);
            }
        }
    }

    /** Keeps batch work of each team waiting, so that the fleet is full. */
    private void refill() {
        int teams = workload.weights().size();
        for (int team = 0; team < teams; team++) {
            boolean late = team >= teams - workload.lateTeams();
            if (late && now < Workload.LATE_START_MILLIS) {
                continue;
            }
            for (int i = waitingBatch(team); i < BACKLOG_PER_TEAM; i++) {
                Resources size = BATCH_SIZES[random.nextInt(BATCH_SIZES.length)];
                enqueue(
                        newJob(exponential(workload.batchTaskMillis())),
                        team,
                        WorkKind.BATCH,
                        size);
            }
        }
        at(now + 1_000, this::refill);
    }

    private int waitingBatch(int team) {
        return state.shards().values().stream()
                .mapToInt(s -> s.queue().queuedCount(PolicyCell.queue("batch", team)))
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
                        PolicyCell.team(team),
                        PolicyCell.queue("gang", team),
                        GANG_SIZE,
                        "",
                        now);
        submitted.put(job, now);
        state = state.withShard(shard.withQueue(shard.queue().plus(gang)));
        at(now + exponential(60_000 / workload.gangsPerMinute()), this::submitGang);
    }

    private void arrive() {
        int team = random.nextInt(workload.weights().size());
        String kind = random.nextDouble() < workload.urgentPart() ? "urgent" : "lookup";
        RequestId id = RequestId.of("r" + number++);
        arrivedMillis.put(id, now);
        apply(
                new RequestEvent.RequestArrived(
                        now,
                        id,
                        PolicyCell.queue(kind, team),
                        Optional.empty(),
                        Optional.empty(),
                        random.nextLong()));
        at(now + exponential(1_000 / workload.lookupsPerSecond()), this::arrive);
    }

    private JobId newJob(long millis) {
        JobId job = JobId.of("j" + number++);
        runMillis.put(job, millis);
        return job;
    }

    /** Puts a task into the shard in which least waits. */
    private void enqueue(JobId job, int team, WorkKind kind, Resources size) {
        ShardId id = null;
        int least = Integer.MAX_VALUE;
        for (ShardState shard : state.shards().values()) {
            if (shard.queue().size() < least) {
                least = shard.queue().size();
                id = shard.id();
            }
        }
        ShardState shard = state.shards().get(id);
        QueuedWork task =
                new QueuedWork.Task(
                        job,
                        0,
                        1,
                        PolicyCell.team(team),
                        PolicyCell.queue(PolicyCell.nameOf(kind), team),
                        kind,
                        size,
                        "",
                        now);
        submitted.put(job, now);
        state = state.withShard(shard.withQueue(shard.queue().plus(task)));
    }

    private void sample() {
        measures.sample(state);
        at(now + SAMPLE_MILLIS, this::sample);
    }
}
