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

/** Guards against explanations with a wrong reason why work waits. */
public final class ExplanationsTest {
    private static final TeamId TEAM = TeamId.of("team");
    private static final ShardId SHARD = ShardId.of("zone-0");
    private static final Location ZONE = Location.of("region", "zone-0", "rack-0");
    private static final Resources ONE_CORE = Resources.of(1_000, 1_024, 0);

    private State state;
    private long now = 10_000;

    @BeforeMethod
    public void startEntryThatOwnsTheShard() {
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
                HashTreePMap.singleton(TEAM, new Team(TEAM, 1, ONE_CORE.times(limit))),
                HashTreePMap.singleton(
                        queue,
                        new Queue(
                                queue, TEAM, true, WorkKind.BATCH, ONE_CORE, false, 1_000, 1_000)),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Tuning.DEFAULT);
    }

    private static WorkerListing listing(String id, Location location) {
        return new WorkerListing(WorkerId.of(id), id + ":1", location, ONE_CORE.times(5), 8, false);
    }

    private void apply(Event event) {
        state = Reducer.reduce(state, event).state();
    }

    private void tick() {
        now += 100;
        apply(new StoreEvent.StoreContacted(now, now));
        apply(new Tick(now, 1));
    }

    private void grantLeaseAndBudget() {
        BudgetRow row = new BudgetRow(state.shards().get(SHARD).epoch(), ONE_CORE.times(100));
        apply(new LimitEvent.LedgerLoaded(now, 1, Ledger.EMPTY.withRow(TEAM, SHARD, row)));
        WorkerReport report =
                new WorkerReport(
                        1, false, ONE_CORE.times(5), 8, TreePVector.empty(), TreePVector.empty());
        apply(
                new FleetEvent.LeaseGranted(
                        now,
                        WorkerId.of("worker-0"),
                        state.shards().get(SHARD).epoch(),
                        now,
                        report));
        tick();
    }

    private JobPartExplanation submitAndExplain(
            WorkKind kind, int tasks, Resources size, ShardId shard) {
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

    private static List<WaitReason> reasons(JobPartExplanation part) {
        return part.waits().stream().map(Wait::reason).toList();
    }

    /** Guards against a missing reason while the workers of a shard are still being acquired. */
    @Test
    public void reportsShardThatIsNotSettled() {
        JobPartExplanation part = submitAndExplain(WorkKind.BATCH, 3, ONE_CORE, SHARD);
        assertEquals(reasons(part), List.of(WaitReason.SHARD_NOT_SETTLED));
        assertEquals(part.owner(), Optional.of("entry-0#1"));
    }

    /** Guards against a reason that refers to an owner if the shard has none. */
    @Test
    public void reportsShardWithoutOwner() {
        JobPartExplanation part =
                submitAndExplain(WorkKind.BATCH, 3, ONE_CORE, ShardId.of("zone-9"));
        assertEquals(reasons(part), List.of(WaitReason.NO_OWNER));
    }

    /** Guards against wrong task and worker counts when the free capacity is used up. */
    @Test
    public void countsFullWorkers() {
        grantLeaseAndBudget();
        JobPartExplanation part = submitAndExplain(WorkKind.BATCH, 10, ONE_CORE, SHARD);
        assertEquals(part.running(), 4);
        assertEquals(part.queued(), 6);
        assertTrue(reasons(part).contains(WaitReason.NO_FREE_WORKER));
        assertEquals(part.rejections().orElseThrow().withoutFreeCapacity(), 1);
        assertEquals(part.rejections().orElseThrow().fitting(), 0);
    }

    /** Guards against a wrong number of fitting tasks for a gang that waits. */
    @Test
    public void reportsHowManyTasksOfAGangFit() {
        grantLeaseAndBudget();
        submitAndExplain(WorkKind.BATCH, 1, ONE_CORE, SHARD);
        JobPartExplanation part = submitAndExplain(WorkKind.GANG, 4, ONE_CORE, SHARD);
        assertEquals(part.waits().get(0), new Wait(WaitReason.GANG_WAITS, 3, 4));
    }

    /** Guards against confusing work that never fits with workers that are unreachable. */
    @Test
    public void reportsTooLargeSizeAndUnreachableWorkers() {
        grantLeaseAndBudget();
        JobPartExplanation large = submitAndExplain(WorkKind.BATCH, 1, ONE_CORE.times(6), SHARD);
        assertEquals(reasons(large).get(0), WaitReason.NO_WORKER_LARGE_ENOUGH);
        apply(
                new FleetEvent.LeaseFailed(
                        now, WorkerId.of("worker-0"), state.shards().get(SHARD).epoch()));
        JobPartExplanation unreachable = submitAndExplain(WorkKind.BATCH, 2, ONE_CORE, SHARD);
        assertEquals(reasons(unreachable).get(0), WaitReason.WORKERS_UNAVAILABLE);
        WorkerExplanation worker =
                Explanations.worker(state, WorkerId.of("worker-0")).orElseThrow();
        assertEquals(worker.condition(), WorkerExplanation.Condition.UNREACHABLE);
    }

    /** Guards against an explanation that reports a reached limit without its amounts. */
    @Test
    public void reportsLimitBudgetAndUsage() {
        grantLeaseAndBudget();
        apply(new ConfigurationLoaded(now, configuration(4, 8), Optional.empty()));
        BudgetRow row = new BudgetRow(state.shards().get(SHARD).epoch(), ONE_CORE.times(3));
        apply(new LimitEvent.LedgerLoaded(now, 2, Ledger.EMPTY.withRow(TEAM, SHARD, row)));
        JobPartExplanation part = submitAndExplain(WorkKind.BATCH, 10, ONE_CORE, SHARD);
        assertEquals(part.running(), 3);
        Wait wait = limitWait(part.waits());
        LimitUsage usage = wait.limitUsage().orElseThrow();
        assertEquals(usage.limit(), ONE_CORE.times(8));
        assertEquals(usage.usage(), ONE_CORE.times(3));
        assertEquals(usage.shard(), SHARD);
        assertEquals(usage.shardBudget(), ONE_CORE.times(3));
        assertEquals(usage.shardUsage(), ONE_CORE.times(3));
        long waitingSinceMillis = usage.waitingSinceMillis().orElseThrow();
        assertTrue(
                waitingSinceMillis >= 10_000 && waitingSinceMillis <= now,
                "waiting since " + waitingSinceMillis);
        TeamExplanation team = Explanations.team(state, TEAM).orElseThrow();
        assertEquals(limitWait(team.waits()), wait);
        assertEquals(team.waitingSinceMillis(), Optional.of(waitingSinceMillis));
        assertEquals(team.limit(), ONE_CORE.times(8));
        assertEquals(team.usage(), ONE_CORE.times(3));
    }

    private static Wait limitWait(Iterable<Wait> waits) {
        for (Wait wait : waits) {
            if (wait.reason() == WaitReason.LIMIT_REACHED) {
                return wait;
            }
        }
        throw new AssertionError("no LIMIT_REACHED among " + waits);
    }

    /** Guards against wrong totals in the fleet status. */
    @Test
    public void summarizesTheFleet() {
        grantLeaseAndBudget();
        submitAndExplain(WorkKind.BATCH, 10, ONE_CORE, SHARD);
        FleetStatus status = FleetStatuses.of(state);
        assertEquals(status.configurationVersion(), 3);
        assertTrue(status.configurationFresh());
        assertEquals(status.activeJobs(), 1);
        FleetStatus.ShardStatus shard = status.shards().get(0);
        assertEquals(shard.owner(), Optional.of(EntryId.of("entry-0", 1)));
        assertEquals(shard.queued(), 6);
        TeamExplanation team = status.teams().get(0);
        assertEquals(team.queued(), 6);
        assertEquals(team.usage(), ONE_CORE.times(4));
        assertEquals(Explanations.request(state, RequestId.of("none")), Optional.empty());
    }
}
