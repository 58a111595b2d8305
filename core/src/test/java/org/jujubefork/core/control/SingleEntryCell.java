package org.jujubefork.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerState;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** Test fixture: one entry that owns the only shard of a small cell. */
public final class SingleEntryCell {
    public static final ShardId SHARD = ShardId.of("zone-a");
    public static final Resources WORKER_CAPACITY = Resources.of(10_000, 10_000, 2);
    public static final int SLOTS_PER_WORKER = 8;

    public State state;
    public List<Effect> effects = new ArrayList<>();
    public final List<Event> history = new ArrayList<>();

    private SingleEntryCell(State state) {
        this.state = state;
    }

    public static SingleEntryCell of(int workers, int teams, Tuning tuning) {
        return of(workers, teams, tuning, HashTreePMap.empty());
    }

    public static SingleEntryCell of(
            int workers, int teams, Tuning tuning, PMap<WorkKind, KindPolicy> policies) {
        Location location = new Location("region-a", "zone-a", "rack-0");
        EntryIdentity self = new EntryIdentity(new EntryId("entry-a", 2), location, "h:1", "p:1");
        Configuration configuration = configuration(teams, tuning, policies);
        SingleEntryCell cell =
                new SingleEntryCell(
                        State.initial(self, Timing.DEFAULT, 0).withConfiguration(configuration));
        List<WorkerListing> listings = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            Location rack = new Location("region-a", "zone-a", "rack-" + i / 4);
            listings.add(
                    new WorkerListing(
                            worker(i),
                            "127.0.0.1:" + i,
                            rack,
                            WORKER_CAPACITY,
                            SLOTS_PER_WORKER,
                            false));
        }
        cell.apply(new FleetEvent.WorkersListed(0, TreePVector.from(listings)));
        cell.apply(new Tick(6_000, 1));
        cell.apply(new Tick(6_400, 1));
        for (Effect effect : List.copyOf(cell.effects)) {
            if (effect instanceof WorkerEffect.AcquireLease lease) {
                cell.reportTasks(lease.worker(), List.of(), Resources.ZERO);
            }
        }
        if (cell.shard() != null) {
            cell.apply(
                    new LimitEvent.LedgerLoaded(cell.state.nowMillis(), 1, fullBudgetLedger(cell)));
        }
        cell.effects.clear();
        return cell;
    }

    /** Returns a ledger in which the shard has the full limit of each team as budget. */
    private static Ledger fullBudgetLedger(SingleEntryCell cell) {
        Ledger ledger = Ledger.EMPTY;
        for (Team team : cell.state.configuration().orElseThrow().teams().values()) {
            BudgetRow row = new BudgetRow(cell.shard().epoch(), team.limit());
            ledger = ledger.withRow(team.id(), SHARD, row);
        }
        return ledger;
    }

    private static Configuration configuration(
            int teams, Tuning tuning, PMap<WorkKind, KindPolicy> policies) {
        PMap<TeamId, Team> teamMap = HashTreePMap.empty();
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        Resources limit = WORKER_CAPACITY.times(1_000);
        for (int i = 0; i < teams; i++) {
            teamMap = teamMap.plus(team(i), new Team(team(i), 1, limit));
            for (WorkKind kind : WorkKind.values()) {
                queues = queues.plus(queue(kind, i), queue(queue(kind, i), i, kind, false));
            }
            QueueId urgent = QueueId.of("urgent-" + i);
            queues = queues.plus(urgent, queue(urgent, i, WorkKind.LOOKUP, true));
        }
        return new Configuration(
                1, "test", 1, 1, 720, teamMap, queues, HashTreePMap.empty(), policies, tuning);
    }

    private static Queue queue(QueueId id, int team, WorkKind kind, boolean urgent) {
        return new Queue(
                id, team(team), true, kind, Resources.of(500, 500, 0), urgent, 10_000, 100);
    }

    public static TeamId team(int index) {
        return TeamId.of("team-" + index);
    }

    public static QueueId queue(WorkKind kind, int team) {
        return QueueId.of(kind.name().toLowerCase(java.util.Locale.ROOT) + "-" + team);
    }

    public static WorkerId worker(int index) {
        return WorkerId.of(String.format(java.util.Locale.ROOT, "worker-%03d", index));
    }

    public ShardState shard() {
        return state.shards().get(SHARD);
    }

    public WorkerState workerState(int index) {
        return shard().workers().get(worker(index));
    }

    /** Applies {@code event} and returns its effects. */
    public List<Effect> apply(Event event) {
        history.add(event);
        Transition transition = Reducer.reduce(state, event);
        state = transition.state();
        effects.addAll(transition.effects());
        return transition.effects();
    }

    public List<Effect> advance(long millis) {
        return apply(new Tick(state.nowMillis() + millis, 7));
    }

    /** Advances time in steps of 100 ms; all workers grant the renewals of their leases. */
    public void runFor(long millis) {
        for (long endMillis = state.nowMillis() + millis; state.nowMillis() < endMillis; ) {
            for (Effect effect : advance(100)) {
                if (effect instanceof WorkerEffect.RenewLease renewal) {
                    reportTasks(renewal.worker(), List.of(), Resources.ZERO);
                }
            }
        }
    }

    public void submitRequest(String id, QueueId queue) {
        submitRequest(id, queue, Optional.empty());
    }

    public void submitRequest(String id, QueueId queue, Optional<String> idempotencyKey) {
        apply(
                new RequestEvent.RequestArrived(
                        state.nowMillis(),
                        RequestId.of(id),
                        queue,
                        Optional.empty(),
                        idempotencyKey,
                        0));
    }

    /** Adds {@code count} tasks of a batch job or service to the queue, then applies one tick. */
    public void enqueueTasks(String job, WorkKind kind, int team, int count, Resources size) {
        ShardState shard = shard();
        var queue = shard.queue();
        for (int i = 0; i < count; i++) {
            queue =
                    queue.plus(
                            new QueuedWork.Task(
                                    JobId.of(job),
                                    i,
                                    1,
                                    team(team),
                                    queue(kind, team),
                                    kind,
                                    size,
                                    "",
                                    state.nowMillis()));
        }
        state = state.withShard(shard.withQueue(queue));
        advance(0);
    }

    public void enqueueGang(String job, int team, int tasks, Resources size) {
        ShardState shard = shard();
        QueuedWork gang =
                new QueuedWork.Gang(
                        JobId.of(job),
                        tasks,
                        1,
                        team(team),
                        queue(WorkKind.GANG, team),
                        size,
                        "",
                        state.nowMillis());
        state = state.withShard(shard.withQueue(shard.queue().plus(gang)));
        advance(0);
    }

    /**
     * Lets {@code worker} grant its lease with a report of its tasks. Tasks in {@code ended} are
     * reported as ended, all others as running with {@code usage}, or with their declared size if
     * {@code usage} is zero.
     */
    public List<Effect> reportTasks(WorkerId worker, List<EndedTask> ended, Resources usage) {
        ShardState shard = shard();
        List<ReportedTask> running = new ArrayList<>();
        for (var id : shard.workers().get(worker).tasks()) {
            RunningTask task = shard.tasks().get(id);
            boolean hasEnded = ended.stream().anyMatch(e -> e.spec().id().equals(id));
            if (!hasEnded && !task.spec().kind().isRequest()) {
                running.add(
                        new ReportedTask(
                                task.spec(), usage.isZero() ? task.spec().size() : usage, 0.5));
            }
        }
        return apply(
                new FleetEvent.LeaseGranted(
                        state.nowMillis(),
                        worker,
                        shard.epoch(),
                        state.nowMillis(),
                        new WorkerReport(
                                1,
                                false,
                                WORKER_CAPACITY,
                                SLOTS_PER_WORKER,
                                TreePVector.from(running),
                                TreePVector.from(ended))));
    }

    public List<Effect> endTask(RunningTask task, EndReason reason) {
        return reportTasks(
                task.worker(), List.of(new EndedTask(task.spec(), reason, "", 1)), Resources.ZERO);
    }

    /** Lets the workers confirm the starts of all tasks of jobs. */
    public void acceptStarts() {
        for (var start : effects(WorkerEffect.StartTask.class)) {
            if (start.request().isEmpty()) {
                apply(
                        new TaskEvent.StartAccepted(
                                state.nowMillis(), start.worker(), start.task().id()));
            }
        }
    }

    /** Returns the placed tasks of the given kind and team. */
    public List<RunningTask> placedTasks(WorkKind kind, int team) {
        return shard().tasks().values().stream()
                .filter(t -> t.spec().kind() == kind && t.spec().team().equals(team(team)))
                .toList();
    }

    public <T extends Effect> List<T> effects(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
