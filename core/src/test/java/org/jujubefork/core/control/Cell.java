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

/** One entry that owns the only shard of a small cell; a fixture for tests of decisions. */
public final class Cell {
    public static final ShardId SHARD = ShardId.of("zone-a");
    public static final Resources WORKER = Resources.of(10_000, 10_000, 2);
    public static final int SLOTS = 8;

    public State state;
    public List<Effect> effects = new ArrayList<>();
    public final List<Event> history = new ArrayList<>();

    private Cell(State state) {
        this.state = state;
    }

    public static Cell of(int workers, int teams, Tuning tuning) {
        return of(workers, teams, tuning, HashTreePMap.empty());
    }

    public static Cell of(
            int workers, int teams, Tuning tuning, PMap<WorkKind, KindPolicy> policies) {
        Location location = new Location("region-a", "zone-a", "rack-0");
        EntryIdentity self = new EntryIdentity(new EntryId("entry-a", 2), location, "h:1", "p:1");
        Configuration configuration = configuration(teams, tuning, policies);
        Cell cell =
                new Cell(State.initial(self, Timing.DEFAULT, 0).withConfiguration(configuration));
        List<WorkerListing> listings = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            Location rack = new Location("region-a", "zone-a", "rack-" + i / 4);
            listings.add(
                    new WorkerListing(worker(i), "127.0.0.1:" + i, rack, WORKER, SLOTS, false));
        }
        cell.apply(new FleetEvent.WorkersListed(0, TreePVector.from(listings)));
        cell.apply(new Tick(6_000, 1));
        cell.apply(new Tick(6_400, 1));
        for (Effect effect : List.copyOf(cell.effects)) {
            if (effect instanceof WorkerEffect.AcquireLease lease) {
                cell.report(lease.worker(), List.of(), Resources.ZERO);
            }
        }
        if (cell.shard() != null) {
            cell.apply(new LimitEvent.LedgerLoaded(cell.state.nowMillis(), 1, wholeLimits(cell)));
        }
        cell.effects.clear();
        return cell;
    }

    /** Returns a ledger that gives the shard each team's whole limit. */
    private static Ledger wholeLimits(Cell cell) {
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
        Resources limit = WORKER.times(1_000);
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

    /** Reduces {@code event} and returns its effects. */
    public List<Effect> apply(Event event) {
        history.add(event);
        Transition transition = Reducer.reduce(state, event);
        state = transition.state();
        effects.addAll(transition.effects());
        return transition.effects();
    }

    public List<Effect> tick(long millis) {
        return apply(new Tick(state.nowMillis() + millis, 7));
    }

    /** Lets time pass in steps of 100 ms while all workers renew their leases. */
    public void run(long millis) {
        for (long end = state.nowMillis() + millis; state.nowMillis() < end; ) {
            for (Effect effect : tick(100)) {
                if (effect instanceof WorkerEffect.RenewLease renewal) {
                    report(renewal.worker(), List.of(), Resources.ZERO);
                }
            }
        }
    }

    public void request(String id, QueueId queue) {
        request(id, queue, Optional.empty());
    }

    public void request(String id, QueueId queue, Optional<String> key) {
        apply(
                new RequestEvent.RequestArrived(
                        state.nowMillis(), RequestId.of(id), queue, Optional.empty(), key, 0));
    }

    /** Queues {@code count} tasks of a batch job or service, one event for all. */
    public void enqueue(String job, WorkKind kind, int team, int count, Resources size) {
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
        tick(0);
    }

    public void gang(String job, int team, int tasks, Resources size) {
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
        tick(0);
    }

    /** Has {@code worker} report its tasks; those in {@code ended} have ended with the reason. */
    public List<Effect> report(WorkerId worker, List<EndedTask> ended, Resources usage) {
        ShardState shard = shard();
        List<ReportedTask> running = new ArrayList<>();
        for (var id : shard.workers().get(worker).tasks()) {
            RunningTask task = shard.tasks().get(id);
            boolean over = ended.stream().anyMatch(e -> e.spec().id().equals(id));
            if (!over && !task.spec().kind().isRequest()) {
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
                                WORKER,
                                SLOTS,
                                TreePVector.from(running),
                                TreePVector.from(ended))));
    }

    public List<Effect> end(RunningTask task, EndReason reason) {
        return report(
                task.worker(), List.of(new EndedTask(task.spec(), reason, "", 1)), Resources.ZERO);
    }

    /** Has workers confirm the starts of tasks of jobs. */
    public void acceptStarts() {
        for (var start : effects(WorkerEffect.StartTask.class)) {
            if (start.request().isEmpty()) {
                apply(
                        new TaskEvent.StartAccepted(
                                state.nowMillis(), start.worker(), start.task().id()));
            }
        }
    }

    /** Returns placed tasks of {@code team} and {@code kind}. */
    public List<RunningTask> placed(WorkKind kind, int team) {
        return shard().tasks().values().stream()
                .filter(t -> t.spec().kind() == kind && t.spec().team().equals(team(team)))
                .toList();
    }

    public <T extends Effect> List<T> effects(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
