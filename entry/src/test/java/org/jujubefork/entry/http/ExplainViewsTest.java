package org.jujubefork.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jujubefork.client.api.ExplainView;
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
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.model.WorkerReport;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Guards against an explanation of a limit that lacks the figures or shows a time in 1970. */
public final class ExplainViewsTest {
    private static final TeamId TEAM = TeamId.of("osu");
    private static final QueueId QUEUE = QueueId.of("batch");
    private static final ShardId SHARD = ShardId.of("zone-0");
    private static final Location ZONE = Location.of("region", "zone-0", "rack-0");
    private static final Resources ONE_CORE = Resources.of(1_000, 1_024, 0);
    private static final Resources TEN_CORES = ONE_CORE.times(10);

    private State state;
    private long nowMillis = 10_000;

    private void apply(Event event) {
        state = Reducer.reduce(state, event).state();
    }

    private void advance() {
        nowMillis += 100;
        apply(new StoreEvent.StoreContacted(nowMillis, nowMillis));
        apply(new Tick(nowMillis, 1));
    }

    /** Starts an entry that owns the only shard, where the team has a budget of three cores. */
    private void start() {
        EntryIdentity self = new EntryIdentity(EntryId.of("entry-0", 1), ZONE, "a:80", "a:90");
        state = State.initial(self, Timing.DEFAULT, nowMillis);
        Configuration configuration =
                new Configuration(
                        1,
                        "cell",
                        1,
                        1,
                        720,
                        HashTreePMap.singleton(TEAM, new Team(TEAM, 1, ONE_CORE.times(8))),
                        HashTreePMap.singleton(
                                QUEUE,
                                new Queue(
                                        QUEUE,
                                        TEAM,
                                        true,
                                        WorkKind.BATCH,
                                        ONE_CORE,
                                        false,
                                        99,
                                        99)),
                        HashTreePMap.empty(),
                        HashTreePMap.empty(),
                        Tuning.DEFAULT);
        apply(new ConfigurationLoaded(nowMillis, configuration, Optional.empty()));
        WorkerListing worker =
                new WorkerListing(WorkerId.of("worker-0"), "w:1", ZONE, TEN_CORES, 8, false);
        apply(new FleetEvent.WorkersListed(nowMillis, TreePVector.from(List.of(worker))));
        while (!state.shards().containsKey(SHARD)) {
            advance();
        }
        ShardState shard = state.shards().get(SHARD);
        BudgetRow row = new BudgetRow(shard.epoch(), ONE_CORE.times(3));
        apply(new LimitEvent.LedgerLoaded(nowMillis, 1, Ledger.EMPTY.withRow(TEAM, SHARD, row)));
        WorkerReport report =
                new WorkerReport(1, false, TEN_CORES, 8, TreePVector.empty(), TreePVector.empty());
        apply(
                new FleetEvent.LeaseGranted(
                        nowMillis, WorkerId.of("worker-0"), shard.epoch(), nowMillis, report));
    }

    private void enqueue(int taskCount) {
        ShardState shard = state.shards().get(SHARD);
        for (int i = 0; i < taskCount; i++) {
            shard =
                    shard.withQueue(
                            shard.queue()
                                    .plus(
                                            new QueuedWork.Task(
                                                    JobId.of("job"),
                                                    i,
                                                    1,
                                                    TEAM,
                                                    QUEUE,
                                                    WorkKind.BATCH,
                                                    ONE_CORE,
                                                    "",
                                                    nowMillis)));
        }
        state = state.withShard(shard);
        advance();
    }

    @Test
    public void teamAtItsLimitIsExplainedWithFigures() {
        start();
        enqueue(5);
        ExplainView view = ExplainViews.of(state, "team", TEAM.value()).orElseThrow();
        String reasons = String.join("\n", view.reasons());
        assertTrue(reasons.contains("uses 0.300 of the fleet, entitled to 1.000"), reasons);
        assertTrue(reasons.contains("running " + ONE_CORE.times(3) + " of limit 8000m"), reasons);
        assertTrue(
                reasons.contains(
                        "the first work waits: limit reached: the limit is 8000m/8192MiB/0acc, the"
                                + " team uses 3000m/3072MiB/0acc, its budget in shard zone-0 is"
                                + " 3000m/3072MiB/0acc with 3000m/3072MiB/0acc in use, waiting"
                                + " since "),
                reasons);
        assertTrue(!reasons.contains("1970"), reasons);
        long ageMillis = System.currentTimeMillis() - view.sinceMillis();
        assertTrue(
                ageMillis >= 0 && ageMillis < 60_000,
                Instant.ofEpochMilli(view.sinceMillis()).toString());
    }

    @Test
    public void teamWithoutWaitingWorkHasNoStartTime() {
        start();
        ExplainView view = ExplainViews.of(state, "team", TEAM.value()).orElseThrow();
        assertEquals(view.state(), "served");
        assertEquals(view.sinceMillis(), 0);
    }
}
