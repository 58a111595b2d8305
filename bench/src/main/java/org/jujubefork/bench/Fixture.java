package org.jujubefork.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * Builds the state of an entry that owns one shard of a running cell.
 *
 * @param workers number of workers in the cell
 * @param tasks number of running tasks in the cell
 * @param teams number of teams in the cell
 * @param shards number of shards in the cell, of which this entry owns the first
 */
record Fixture(int workers, int tasks, int teams, int shards) {
    /** The capacity of each worker. */
    static final Resources WORKER_CAPACITY = Resources.of(30_000, 130_000, 2);

    /**
     * Time of all events in a benchmark. It is close enough to the last gossip of the other entries
     * that they count as alive.
     */
    static final long NOW_MILLIS = 10_000;

    private static final int SLOTS_PER_WORKER = 8;
    private static final int WORKERS_PER_RACK = 8;
    private static final int ZONES_PER_REGION = 4;

    static TeamId teamId(int index) {
        return TeamId.of("team-" + index);
    }

    static QueueId lookupQueue(int team) {
        return QueueId.of("lookup-" + team);
    }

    static QueueId batchQueue(int team) {
        return QueueId.of("batch-" + team);
    }

    /** Returns the state after all workers have granted leases and reported their tasks. */
    State state() {
        EntryIdentity self =
                new EntryIdentity(new EntryId("entry-0", 1), location(0, 0), "h:1", "p:1");
        State state = State.initial(self, Timing.DEFAULT, 0).withConfiguration(configuration());
        state = Reducer.reduce(state, new FleetEvent.WorkersListed(0, listings())).state();
        state = Reducer.reduce(state, gossipOfOtherEntries(NOW_MILLIS - 500)).state();
        state = Reducer.reduce(state, new Tick(NOW_MILLIS - 500, 1)).state();
        Transition claimed = Reducer.reduce(state, new Tick(NOW_MILLIS, 1));
        state = claimed.state();
        int workerIndex = 0;
        for (var effect : claimed.effects()) {
            if (effect instanceof WorkerEffect.AcquireLease lease) {
                WorkerReport report =
                        new WorkerReport(
                                1,
                                false,
                                WORKER_CAPACITY,
                                SLOTS_PER_WORKER,
                                runningTasks(workerIndex),
                                TreePVector.empty());
                workerIndex++;
                state =
                        Reducer.reduce(
                                        state,
                                        new FleetEvent.LeaseGranted(
                                                NOW_MILLIS,
                                                lease.worker(),
                                                lease.epoch(),
                                                NOW_MILLIS,
                                                report))
                                .state();
            }
        }
        return Reducer.reduce(state, UnrestrictedBudgets.of(state)).state();
    }

    private Configuration configuration() {
        PMap<TeamId, Team> teamMap = HashTreePMap.empty();
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (int i = 0; i < teams; i++) {
            Resources limit = Resources.of(1_000_000_000, 1_000_000_000, 1_000_000);
            teamMap = teamMap.plus(teamId(i), new Team(teamId(i), 1 + i % 3, limit));
            queues =
                    queues.plus(lookupQueue(i), queue(lookupQueue(i), i, WorkKind.LOOKUP))
                            .plus(batchQueue(i), queue(batchQueue(i), i, WorkKind.BATCH));
        }
        return new Configuration(
                1,
                "bench",
                shards,
                1,
                720,
                teamMap,
                queues,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Tuning.DEFAULT);
    }

    private static Queue queue(QueueId id, int team, WorkKind kind) {
        return new Queue(
                id, teamId(team), true, kind, Resources.of(100, 128, 0), false, 600_000, 10_000);
    }

    private static Location location(int zone, int worker) {
        return new Location(
                "region-" + zone / ZONES_PER_REGION,
                "zone-" + zone,
                "rack-" + zone + "-" + worker / WORKERS_PER_RACK);
    }

    private PVector<WorkerListing> listings() {
        List<WorkerListing> listings = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            int zone = i % shards;
            listings.add(
                    new WorkerListing(
                            WorkerId.of("worker-" + i),
                            "10.0.0.1:" + i,
                            location(zone, i / shards),
                            WORKER_CAPACITY,
                            SLOTS_PER_WORKER,
                            false));
        }
        return TreePVector.from(listings);
    }

    private PVector<ReportedTask> runningTasks(int worker) {
        int tasksPerWorker = Math.max(1, tasks / workers);
        Resources size = Resources.of(25_000 / tasksPerWorker, 100_000 / tasksPerWorker, 0);
        List<ReportedTask> running = new ArrayList<>();
        for (int i = 0; i < tasksPerWorker; i++) {
            int taskIndex = worker * tasksPerWorker + i;
            int team = taskIndex % teams;
            WorkKind kind = i % 5 == 0 ? WorkKind.SERVICE : WorkKind.BATCH;
            TaskSpec spec =
                    new TaskSpec(
                            TaskId.of("task-" + taskIndex),
                            teamId(team),
                            batchQueue(team),
                            kind,
                            size,
                            Optional.of(new JobTask(JobId.of("job-" + taskIndex), 0, 1)),
                            "");
            running.add(new ReportedTask(spec, size, 0.5));
        }
        return TreePVector.from(running);
    }

    private MembershipEvent.GossipReceived gossipOfOtherEntries(long atMillis) {
        List<MemberRow> rows = new ArrayList<>();
        for (int i = 1; i < shards; i++) {
            EntryId id = new EntryId("entry-" + i, 1);
            PSortedMap<ShardId, ShardSummary> owned =
                    TreePMap.singleton(ShardId.of("zone-" + i), summary(id));
            rows.add(
                    new MemberRow(
                            id, location(i, 0), "h:" + i, "p:" + i, 1, 1, true, false, owned));
        }
        return new MembershipEvent.GossipReceived(
                atMillis, new EntryId("entry-1", 1), TreePVector.from(rows));
    }

    private ShardSummary summary(EntryId owner) {
        PSortedMap<TeamId, TeamLoad> loads = TreePMap.empty();
        for (int i = 0; i < teams; i++) {
            loads = loads.plus(teamId(i), new TeamLoad(WORKER_CAPACITY, Resources.ZERO, 0));
        }
        int count = workers / shards;
        return new ShardSummary(
                Epoch.of(1, owner),
                count,
                count,
                0,
                WORKER_CAPACITY.times(count),
                WORKER_CAPACITY,
                WORKER_CAPACITY,
                loads,
                Optional.empty());
    }
}
