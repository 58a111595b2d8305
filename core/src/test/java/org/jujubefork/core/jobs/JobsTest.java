package org.jujubefork.core.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.TreePVector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against jobs that stall, run twice or lose their progress at single failures. */
public final class JobsTest {
    private static final Resources CORE = JobsFixtures.CORE;

    private JobsSimulation world;
    private FakeEntry entry;

    @BeforeMethod
    public void start() {
        world = new JobsSimulation(11);
        world.addWorker(0, 4);
        world.addWorker(0, 4);
        entry = world.addEntry("entry-0", 0);
        world.run(5_000);
    }

    private boolean ends(JobId job, JobState state, long millis) {
        return world.runUntil(() -> world.stateOf(job) == state, millis);
    }

    private static int queued(FakeEntry owner) {
        return owner.state.shards().get(ShardId.of("zone-0")).queue().size();
    }

    private long startsOf(JobId job) {
        return world.effects.stream()
                .filter(
                        e ->
                                e instanceof WorkerEffect.StartTask s
                                        && s.task().job().orElseThrow().job().equals(job))
                .count();
    }

    @Test
    public void queuesAWindowOfALargeJob() {
        world.minRunMillis = 900_000;
        world.maxRunMillis = 900_001;
        world.submit(entry, "a", WorkKind.BATCH, 10_000, CORE);
        world.run(5_000);
        assertTrue(queued(entry) <= TaskEnqueuer.MAX_QUEUED_PER_JOB, "queued " + queued(entry));
        assertTrue(queued(entry) > TaskEnqueuer.MAX_QUEUED_PER_JOB / 2, "queued " + queued(entry));
        assertTrue(world.runningOf(JobId.of("a")) == 8);
    }

    @Test
    public void olderJobsAreQueuedFirstWhenTheQueueIsFull() {
        world.minRunMillis = 900_000;
        world.maxRunMillis = 900_001;
        for (int i = 0; i < 9; i++) {
            world.submit(entry, "z" + i, WorkKind.BATCH, 128, CORE);
            world.run(200);
        }
        world.submitEpochMillis = 2;
        JobId late = world.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        world.run(2_000);
        assertEquals(queued(entry), 1_000);
        assertEquals(world.runningOf(late), 0);
        world.cancel(entry, JobId.of("z0"));
        world.run(2_000);
        assertEquals(queued(entry), 1_000, "an older job takes the place that became free");
        assertEquals(
                entry.state
                        .jobs()
                        .shardJobs(ShardId.of("zone-0"), epoch())
                        .tasksOf(late)
                        .queued()
                        .size(),
                0);
    }

    private Epoch epoch() {
        return entry.state.shards().get(ShardId.of("zone-0")).epoch();
    }

    @Test
    public void endsAreWrittenInBatches() {
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 64, CORE);
        world.run(1_000);
        long begin = world.now;
        assertTrue(ends(job, JobState.SUCCEEDED, 300_000));
        long seconds = (world.now - begin) / 1_000 + 2;
        assertTrue(world.store.writes <= seconds, world.store.writes + " in " + seconds + " s");
    }

    @Test
    public void endsOutliveAStoreOutage() {
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 24, CORE);
        world.run(1_000);
        world.store.down = true;
        world.run(120_000);
        assertEquals(startsOf(job), 24);
        assertTrue(
                world.workers.values().stream().anyMatch(w -> !w.ended.isEmpty()),
                "ends must not be acknowledged while they are not durable");
        world.store.down = false;
        assertTrue(ends(job, JobState.SUCCEEDED, 60_000));
        assertEquals(startsOf(job), 24);
        world.run(30_000);
        assertTrue(world.workers.values().stream().allMatch(w -> w.ended.isEmpty()));
    }

    @Test
    public void failsAfterTheLastAttempt() {
        world.failPercent = 100;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(ends(job, JobState.FAILED, 200_000));
        assertEquals(startsOf(job), 3);
        assertTrue(world.store.jobs.get(job).record().reason().contains("attempt 3"));
    }

    private long runningInAttempt(JobId job, int attempt) {
        return world.workers.values().stream()
                .flatMap(w -> w.running.values().stream())
                .map(t -> t.job().orElseThrow())
                .filter(t -> t.job().equals(job) && t.attempt() == attempt)
                .count();
    }

    @Test
    public void gangStartsAgainAsAWhole() {
        world.minRunMillis = 60_000;
        world.maxRunMillis = 60_001;
        JobId job = world.submit(entry, "a", WorkKind.GANG, 4, CORE);
        assertTrue(world.runUntil(() -> world.runningOf(job) == 4, 5_000));
        FakeWorker worker =
                world.workers.values().stream().filter(w -> !w.running.isEmpty()).findFirst().get();
        worker.end(worker.running.keySet().iterator().next(), EndReason.FAILED);
        // The restart can follow the last stop within one step, so the tasks are told apart by
        // their attempt.
        assertTrue(world.runUntil(() -> runningInAttempt(job, 2) == 4, 30_000));
        assertEquals(world.runningOf(job), 4);
        assertTrue(world.runUntil(() -> world.store.jobs.get(job).record().run() == 2, 2_000));
        assertEquals(world.store.jobs.get(job).record().failedAttempts(0), 1);
        assertTrue(ends(job, JobState.SUCCEEDED, 120_000));
    }

    @Test
    public void failingServiceIsReplacedEverMoreSlowly() {
        world.failPercent = 100;
        world.maxRunMillis = 100;
        JobId job = world.submit(entry, "a", WorkKind.SERVICE, 1, CORE);
        world.run(600_000);
        // Without the delay, each renewal would start a replica: about 60 in this time.
        assertTrue(startsOf(job) >= 8 && startsOf(job) <= 16, "starts " + startsOf(job));
        world.failPercent = 0;
        assertTrue(world.runUntil(() -> world.runningOf(job) == 1, 90_000));
        world.workers.values().forEach(FakeWorker::restart);
        assertTrue(world.runUntil(() -> world.runningOf(job) == 1, 90_000));
    }

    @Test
    public void takeoverWaitsForAnUnreachableWorker() {
        world.minRunMillis = 300_000;
        world.maxRunMillis = 300_001;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 8, CORE);
        assertTrue(world.runUntil(() -> world.runningOf(job) == 8, 5_000));
        world.workers.values().iterator().next().unreachableFrom.add("entry-1");
        FakeEntry second = world.addEntry("entry-1", 0);
        world.run(3_000);
        entry.dead = true;
        world.run(25_000);
        assertTrue(second.state.shards().containsKey(ShardId.of("zone-0")));
        assertEquals(queued(second), 0);
        world.run(40_000);
        // The four tasks of the worker that stopped them wait for room on the other one.
        assertEquals(queued(second), 4);
    }

    @Test
    public void checkpointedTaskGoesOnWithTheSameAttempt() {
        world.minRunMillis = 60_000;
        world.maxRunMillis = 60_001;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(world.runUntil(() -> world.runningOf(job) == 1, 5_000));
        for (FakeWorker worker : world.workers.values()) {
            for (var task : List.copyOf(worker.running.keySet())) {
                worker.end(task, EndReason.CHECKPOINTED);
            }
        }
        assertTrue(world.runUntil(() -> startsOf(job) == 2, 20_000));
        world.run(2_000);
        JobRecord record = world.store.jobs.get(job).record();
        assertEquals(record.progress().get(0), 0.25);
        assertEquals(record.failedAttempts(0), 0);
        assertTrue(ends(job, JobState.SUCCEEDED, 120_000));
    }

    /** Begins a job that fills zone 0, and then adds a zone with room for 8 of its tasks. */
    private JobId jobBesideARoomyShard() {
        world.minRunMillis = 100_000;
        world.maxRunMillis = 100_001;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 40, CORE);
        world.run(2_000);
        world.addWorker(1, 8);
        var listings = world.workers.values().stream().map(w -> w.listing).toList();
        world.addEntry("entry-1", 1);
        world.apply(entry, new FleetEvent.WorkersListed(world.now, TreePVector.from(listings)));
        return job;
    }

    private boolean hasMoved(JobId job) {
        return world.store.jobs.get(job).record().parts().stream()
                .anyMatch(p -> !p.shard().equals(ShardId.of("zone-0")));
    }

    private boolean isAnnounced(JobId job) {
        return world.store.jobs.get(job).record().parts().stream()
                .anyMatch(p -> p.movingTo().isPresent());
    }

    @Test
    public void waitingTasksMoveToARoomyShard() {
        JobId job = jobBesideARoomyShard();
        assertTrue(world.runUntil(() -> world.runningOf(job) == 16, 60_000));
        JobRecord record = world.store.jobs.get(job).record();
        assertEquals(record.parts().size(), 2);
        assertFalse(isAnnounced(job));
        assertEquals(record.parts().stream().mapToInt(JobPart::size).sum(), 40);
    }

    @Test
    public void tasksDoNotMoveWithoutProofThatNoSuccessorStartedThem() {
        JobId job = jobBesideARoomyShard();
        // Cut off from all entries before the announcement: no owner can renew the lease after it.
        world.workers.values().iterator().next().unreachableFrom.add("*");
        assertTrue(world.runUntil(() -> isAnnounced(job), 30_000));
        assertFalse(
                world.runUntil(() -> hasMoved(job) || world.runningOf(job) > 8, 60_000),
                "an announced move must wait for all workers");
        assertTrue(
                world.runUntil(() -> !isAnnounced(job), 60_000),
                "a move that cannot be completed must be withdrawn");
        assertTrue(
                world.store.jobs.get(job).record().parts().stream()
                        .allMatch(p -> p.shard().equals(ShardId.of("zone-0"))));
    }

    @Test
    public void announcedMoveOfAnEarlierOwnerIsWithdrawn() {
        world.minRunMillis = 100_000;
        world.maxRunMillis = 100_001;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 20, CORE);
        world.run(2_000);
        StoredJob stored = world.store.jobs.get(job);
        JobPartChange announce =
                new JobPartChange(
                        ShardId.of("zone-0"),
                        10,
                        20,
                        Optional.empty(),
                        ShardId.of("zone-0"),
                        Optional.of(ShardId.of("zone-1")),
                        0);
        StoredJob announced =
                world.store.write(stored.revision(), announce.applyTo(stored.record())).get();
        assertEquals(queued(entry), 12);
        world.apply(
                entry,
                new JobEvent.JobRecordsChanged(
                        world.now, TreePVector.singleton(announced), TreePVector.empty()));
        assertEquals(queued(entry), 2);
        world.run(5_000);
        assertEquals(world.store.jobs.get(job).record().parts().size(), 1);
        assertEquals(queued(entry), 12);
    }

    @Test
    public void recordsOfEndedJobsAreRemoved() {
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(ends(job, JobState.SUCCEEDED, 60_000));
        world.run(JobRetention.RETENTION_MILLIS / 2);
        assertTrue(world.store.jobs.containsKey(job));
        world.run(JobRetention.RETENTION_MILLIS / 2 + 10_000);
        assertFalse(world.store.jobs.containsKey(job));
        assertEquals(entry.state.jobs().records().size(), 0);
        assertEquals(entry.state.jobs().endedByTime().size(), 0);
        assertTrue(world.effects.stream().anyMatch(e -> e instanceof StoreEffect.DeleteJob));
    }
}
