package org.jujubefork.core.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.jobs.JobDefinition;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against answers that name the wrong reason for which work waits. */
public final class ExplainTest {
    private static final TeamId TEAM = TeamId.of("team");
    private static final ShardId SHARD = ShardId.of("zone-0");
    private static final Location ZONE = Location.of("region", "zone-0", "rack-0");
    private static final Resources CORE = Resources.of(1_000, 1_024, 0);

    private State state;
    private long now = 10_000;

    @BeforeMethod
    public void start() {
        EntryIdentity self = new EntryIdentity(EntryId.of("entry-0", 1), ZONE, "a:80", "a:90");
        state = State.initial(self, Timing.DEFAULT, now);
        apply(new ConfigurationLoaded(now, configuration(3, 100), Optional.empty()));
        WorkerListing zone0 = listing("worker-0", ZONE);
        WorkerListing zone1 = listing("worker-1", Location.of("region", "zone-1", "rack-1"));
        apply(new FleetEvent.WorkersListed(now, TreePVector.from(List.of(zone0, zone1))));
        while (!state.shards().containsKey(SHARD)) {
            tick();
        }
    }

    private static Configuration configuration(long version, int limit) {
        QueueId queue = QueueId.of("batch");
        return new Configuration(
                version,
                "cell",
                1,
                1,
                720,
                HashTreePMap.singleton(TEAM, new Team(TEAM, 1, CORE.times(limit))),
                HashTreePMap.singleton(
                        queue,
                        new Queue(queue, TEAM, true, WorkKind.BATCH, CORE, false, 1_000, 1_000)),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Tuning.DEFAULT);
    }

    private static WorkerListing listing(String id, Location location) {
        return new WorkerListing(WorkerId.of(id), id + ":1", location, CORE.times(5), 8, false);
    }

    private void apply(Event event) {
        state = Reducer.reduce(state, event).state();
    }

    private void tick() {
        now += 100;
        apply(new StoreEvent.StoreContacted(now, now));
        apply(new Tick(now, 1));
    }

    private void grant() {
        BudgetRow row = new BudgetRow(state.shards().get(SHARD).epoch(), CORE.times(100));
        apply(new LimitEvent.LedgerLoaded(now, 1, Ledger.EMPTY.withRow(TEAM, SHARD, row)));
        WorkerReport report =
                new WorkerReport(
                        1, false, CORE.times(5), 8, TreePVector.empty(), TreePVector.empty());
        apply(
                new FleetEvent.LeaseGranted(
                        now,
                        WorkerId.of("worker-0"),
                        state.shards().get(SHARD).epoch(),
                        now,
                        report));
        tick();
    }

    private PartExplanation explain(WorkKind kind, int tasks, Resources size, ShardId shard) {
        JobId job = JobId.of("job-" + kind + "-" + tasks);
        JobRecord record =
                JobRecord.submitted(
                        new JobDefinition(
                                job, TEAM, QueueId.of("batch"), kind, "name", tasks, size, "", 0),
                        TreePVector.singleton(JobPart.of(shard, 0, tasks)));
        apply(
                new JobEvent.JobRecordsChanged(
                        now,
                        TreePVector.singleton(new StoredJob(now, record)),
                        TreePVector.empty()));
        tick();
        return JobExplanations.of(state, job).orElseThrow().parts().get(0);
    }

    private static List<WaitReason> reasons(PartExplanation part) {
        return part.waits().stream().map(Wait::reason).toList();
    }

    @Test
    public void namesAShardThatIsNotSettled() {
        PartExplanation part = explain(WorkKind.BATCH, 3, CORE, SHARD);
        assertEquals(reasons(part), List.of(WaitReason.SHARD_NOT_SETTLED));
        assertEquals(part.owner(), Optional.of("entry-0#1"));
    }

    @Test
    public void namesAShardWithoutOwner() {
        PartExplanation part = explain(WorkKind.BATCH, 3, CORE, ShardId.of("zone-9"));
        assertEquals(reasons(part), List.of(WaitReason.NO_OWNER));
    }

    @Test
    public void countsFullWorkers() {
        grant();
        PartExplanation part = explain(WorkKind.BATCH, 10, CORE, SHARD);
        assertEquals(part.running(), 4);
        assertEquals(part.queued(), 6);
        assertTrue(reasons(part).contains(WaitReason.NO_FREE_WORKER));
        assertEquals(part.rejections().orElseThrow().full(), 1);
        assertEquals(part.rejections().orElseThrow().fitting(), 0);
    }

    @Test
    public void tellsHowManyTasksOfAGangFit() {
        grant();
        explain(WorkKind.BATCH, 1, CORE, SHARD);
        PartExplanation part = explain(WorkKind.GANG, 4, CORE, SHARD);
        assertEquals(part.waits().get(0), new Wait(WaitReason.GANG_WAITS, 3, 4));
    }

    @Test
    public void namesATooLargeSizeAndWorkersThatAreAway() {
        grant();
        PartExplanation large = explain(WorkKind.BATCH, 1, CORE.times(6), SHARD);
        assertEquals(reasons(large).get(0), WaitReason.NO_WORKER_LARGE_ENOUGH);
        apply(
                new FleetEvent.LeaseFailed(
                        now, WorkerId.of("worker-0"), state.shards().get(SHARD).epoch()));
        PartExplanation away = explain(WorkKind.BATCH, 2, CORE, SHARD);
        assertEquals(reasons(away).get(0), WaitReason.WORKERS_UNAVAILABLE);
        WorkerExplanation worker = Explain.worker(state, WorkerId.of("worker-0")).orElseThrow();
        assertEquals(worker.condition(), WorkerExplanation.Condition.UNREACHABLE);
    }

    /** Guards against an answer that names the limit of a team without any figure. */
    @Test
    public void givesTheFiguresOfALimit() {
        grant();
        apply(new ConfigurationLoaded(now, configuration(4, 8), Optional.empty()));
        BudgetRow row = new BudgetRow(state.shards().get(SHARD).epoch(), CORE.times(3));
        apply(new LimitEvent.LedgerLoaded(now, 2, Ledger.EMPTY.withRow(TEAM, SHARD, row)));
        PartExplanation part = explain(WorkKind.BATCH, 10, CORE, SHARD);
        assertEquals(part.running(), 3);
        Wait wait = limitWait(part.waits());
        LimitFigures figures = wait.limit().orElseThrow();
        assertEquals(figures.limit(), CORE.times(8));
        assertEquals(figures.usage(), CORE.times(3));
        assertEquals(figures.shard(), SHARD);
        assertEquals(figures.budget(), CORE.times(3));
        assertEquals(figures.usedInShard(), CORE.times(3));
        long since = figures.sinceMillis().orElseThrow();
        assertTrue(since >= 10_000 && since <= now, "waits since " + since);
        TeamExplanation team = Explain.team(state, TEAM).orElseThrow();
        assertEquals(limitWait(team.waits()), wait);
        assertEquals(team.waitingSinceMillis(), Optional.of(since));
        assertEquals(team.limit(), CORE.times(8));
        assertEquals(team.usage(), CORE.times(3));
    }

    private static Wait limitWait(Iterable<Wait> waits) {
        for (Wait wait : waits) {
            if (wait.reason() == WaitReason.LIMIT_REACHED) {
                return wait;
            }
        }
        throw new AssertionError("no limit among " + waits);
    }

    @Test
    public void sumsUpTheFleet() {
        grant();
        explain(WorkKind.BATCH, 10, CORE, SHARD);
        FleetStatus status = FleetStatuses.of(state);
        assertEquals(status.configurationVersion(), 3);
        assertTrue(status.fresh());
        assertEquals(status.activeJobs(), 1);
        FleetStatus.ShardStatus shard = status.shards().get(0);
        assertEquals(shard.owner(), Optional.of(EntryId.of("entry-0", 1)));
        assertEquals(shard.queued(), 6);
        TeamExplanation team = status.teams().get(0);
        assertEquals(team.queued(), 6);
        assertEquals(team.usage(), CORE.times(4));
        assertEquals(Explain.request(state, RequestId.of("none")), Optional.empty());
    }
}
