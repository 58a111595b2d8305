package org.jujubefork.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.pcollections.TreePVector;

/** Measures how long the reducer takes for typical scheduling decisions, on one thread. */
@org.openjdk.jmh.annotations.State(Scope.Thread)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {
    private static final int BACKLOG_PER_TEAM = 20;
    private static final int GANG_TASK_COUNT = 500;
    private static final Resources BATCH_TASK_SIZE = Resources.of(2_000, 8_000, 0);

    /** Number of workers in the cell. */
    @Param("1100")
    public int workers;

    /** Number of running tasks in the cell. */
    @Param("11000")
    public int tasks;

    /** Number of teams in the cell. */
    @Param("36")
    public int teams;

    /** Number of shards in the cell, of which the benchmarked entry owns one. */
    @Param("1")
    public int shards;

    private State stateWithFreeCapacity;
    private State fullState;
    private List<WorkerId> workerIds;
    private long counter;

    /** Builds a state with free capacity, and one in which batch tasks of all teams are queued. */
    @Setup
    public void setUp() {
        stateWithFreeCapacity = new Fixture(workers, tasks, teams, shards).state();
        workerIds = new ArrayList<>(ownedShard(stateWithFreeCapacity).workers().keySet());
        State filling = stateWithFreeCapacity;
        for (int i = 0; i < teams * BACKLOG_PER_TEAM + 3 * workers; i++) {
            filling = enqueue(filling);
        }
        fullState = filling;
        for (int i = 0; i < 200; i++) {
            fullState = Reducer.reduce(fullState, new Tick(Fixture.NOW_MILLIS, i)).state();
        }
    }

    private static ShardState ownedShard(State state) {
        return state.shards().firstEntry().getValue();
    }

    private State enqueue(State state) {
        int team = (int) (counter++ % teams);
        ShardState shard = ownedShard(state);
        QueuedWork work =
                new QueuedWork.Task(
                        JobId.of("bench-" + counter),
                        0,
                        1,
                        Fixture.teamId(team),
                        Fixture.batchQueue(team),
                        WorkKind.BATCH,
                        BATCH_TASK_SIZE,
                        "",
                        Fixture.NOW_MILLIS);
        return state.withShard(shard.withQueue(shard.queue().plus(work)));
    }

    /** A request arrives, is placed and completes, while workers have free capacity. */
    @Benchmark
    public Transition request() {
        counter++;
        Transition placed =
                Reducer.reduce(
                        stateWithFreeCapacity,
                        new RequestEvent.RequestArrived(
                                Fixture.NOW_MILLIS,
                                RequestId.of("request-" + counter),
                                Fixture.lookupQueue((int) (counter % teams)),
                                Optional.empty(),
                                Optional.empty(),
                                0));
        WorkerEffect.StartTask start = firstStart(placed);
        Transition ended =
                Reducer.reduce(
                        placed.state(),
                        new TaskEvent.RequestFinished(
                                Fixture.NOW_MILLIS, start.worker(), start.task().id(), true, 100));
        stateWithFreeCapacity = ended.state();
        return ended;
    }

    /**
     * A worker of a full fleet reports the completion of a batch task, and a queued task is placed
     * on the freed capacity.
     */
    @Benchmark
    public Transition batchOnFullFleet() {
        WorkerId id = workerIds.get((int) (counter % workerIds.size()));
        ShardState shard = ownedShard(fullState);
        WorkerState worker = shard.workers().get(id);
        List<ReportedTask> stillRunning = new ArrayList<>();
        EndedTask completed = null;
        for (TaskId task : worker.tasks()) {
            RunningTask runningTask = shard.tasks().get(task);
            if (completed == null && runningTask.spec().size().equals(BATCH_TASK_SIZE)) {
                completed = new EndedTask(runningTask.spec(), EndReason.SUCCEEDED, "", 1);
            } else {
                stillRunning.add(
                        new ReportedTask(runningTask.spec(), runningTask.spec().size(), 0.5));
            }
        }
        State queued = enqueue(fullState);
        WorkerReport report =
                new WorkerReport(
                        1,
                        false,
                        Fixture.WORKER_CAPACITY,
                        worker.slots(),
                        TreePVector.from(stillRunning),
                        completed == null ? TreePVector.empty() : TreePVector.singleton(completed));
        Transition result =
                Reducer.reduce(
                        queued,
                        new FleetEvent.LeaseGranted(
                                Fixture.NOW_MILLIS, id, shard.epoch(), Fixture.NOW_MILLIS, report));
        fullState = result.state();
        return result;
    }

    /** A gang of 500 tasks is placed in a single step on a fleet with free capacity. */
    @Benchmark
    public Transition gangOf500() {
        ShardState shard = ownedShard(stateWithFreeCapacity);
        QueuedWork gang =
                new QueuedWork.Gang(
                        JobId.of("gang"),
                        GANG_TASK_COUNT,
                        1,
                        Fixture.teamId(0),
                        Fixture.batchQueue(0),
                        Resources.of(100, 100, 0),
                        "",
                        Fixture.NOW_MILLIS);
        return Reducer.reduce(
                stateWithFreeCapacity.withShard(shard.withQueue(shard.queue().plus(gang))),
                new Tick(Fixture.NOW_MILLIS, 1));
    }

    /** A clock tick is handled while batch tasks of all teams are queued on a full fleet. */
    @Benchmark
    public Transition tickOnFullFleet() {
        return Reducer.reduce(fullState, new Tick(Fixture.NOW_MILLIS, 1));
    }

    private static WorkerEffect.StartTask firstStart(Transition transition) {
        for (var effect : transition.effects()) {
            if (effect instanceof WorkerEffect.StartTask start) {
                return start;
            }
        }
        throw new IllegalStateException("no task was started: " + transition.effects());
    }
}
