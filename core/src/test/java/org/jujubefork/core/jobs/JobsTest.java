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

/** Guards against jobs that stall, run twice or lose their progress on single failures. */
public final class JobsTest {
    private static final Resources CORE = JobsFixtures.CORE;

    private JobsSimulation sim;
    private FakeEntry entry;

    @BeforeMethod
    public void start() {
        sim = new JobsSimulation(11);
        sim.addWorker(0, 4);
        sim.addWorker(0, 4);
        entry = sim.addEntry("entry-0", 0);
        sim.run(5_000);
    }

    private boolean reaches(JobId job, JobState state, long millis) {
        return sim.runUntil(() -> sim.stateOf(job) == state, millis);
    }

    private static int queued(FakeEntry owner) {
        return owner.state.shards().get(ShardId.of("zone-0")).queue().size();
    }

    private long startsOf(JobId job) {
        return sim.effects.stream()
                .filter(
                        e ->
                                e instanceof WorkerEffect.StartTask s
                                        && s.task().jobTask().orElseThrow().job().equals(job))
                .count();
    }

    @Test
    public void queuesABoundedPartOfALargeJob() {
        sim.minRunMillis = 900_000;
        sim.maxRunMillis = 900_001;
        sim.submit(entry, "a", WorkKind.BATCH, 10_000, CORE);
        sim.run(5_000);
        assertTrue(queued(entry) <= TaskEnqueuer.MAX_QUEUED_PER_JOB, "queued " + queued(entry));
        assertTrue(queued(entry) > TaskEnqueuer.MAX_QUEUED_PER_JOB / 2, "queued " + queued(entry));
        assertTrue(sim.runningOf(JobId.of("a")) == 8);
    }

    @Test
    public void olderJobsAreQueuedFirstWhenTheQueueIsFull() {
        sim.minRunMillis = 900_000;
        sim.maxRunMillis = 900_001;
        for (int i = 0; i < 9; i++) {
            sim.submit(entry, "z" + i, WorkKind.BATCH, 128, CORE);
            sim.run(200);
        }
        sim.submitEpochMillis = 2;
        JobId late = sim.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        sim.run(2_000);
        assertEquals(queued(entry), 1_000);
        assertEquals(sim.runningOf(late), 0);
        sim.cancel(entry, JobId.of("z0"));
        sim.run(2_000);
        assertEquals(queued(entry), 1_000, "tasks of an older job fill the queue again");
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
    public void completionsAreWrittenInBatches() {
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 64, CORE);
        sim.run(1_000);
        long begin = sim.now;
        assertTrue(reaches(job, JobState.SUCCEEDED, 300_000));
        long seconds = (sim.now - begin) / 1_000 + 2;
        assertTrue(sim.store.writeCount <= seconds, sim.store.writeCount + " in " + seconds + " s");
    }

    @Test
    public void completionsSurviveAStoreOutage() {
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 24, CORE);
        sim.run(1_000);
        sim.store.down = true;
        sim.run(120_000);
        assertEquals(startsOf(job), 24);
        assertTrue(
                sim.workers.values().stream().anyMatch(w -> !w.ended.isEmpty()),
                "completions must not be acknowledged before they are durable");
        sim.store.down = false;
        assertTrue(reaches(job, JobState.SUCCEEDED, 60_000));
        assertEquals(startsOf(job), 24);
        sim.run(30_000);
        assertTrue(sim.workers.values().stream().allMatch(w -> w.ended.isEmpty()));
    }

    @Test
    public void failsAfterTheLastAttempt() {
        sim.failPercent = 100;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(reaches(job, JobState.FAILED, 200_000));
        assertEquals(startsOf(job), 3);
        assertTrue(sim.store.jobs.get(job).record().reason().contains("attempt 3"));
    }

    private long runningInAttempt(JobId job, int attempt) {
        return sim.workers.values().stream()
                .flatMap(w -> w.running.values().stream())
                .map(t -> t.jobTask().orElseThrow())
                .filter(t -> t.job().equals(job) && t.attempt() == attempt)
                .count();
    }

    @Test
    public void gangIsRestartedAsAWhole() {
        sim.minRunMillis = 60_000;
        sim.maxRunMillis = 60_001;
        JobId job = sim.submit(entry, "a", WorkKind.GANG, 4, CORE);
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 4, 5_000));
        FakeWorker worker =
                sim.workers.values().stream().filter(w -> !w.running.isEmpty()).findFirst().get();
        worker.end(worker.running.keySet().iterator().next(), EndReason.FAILED);
        // The restart can follow the last stop within one step, so the attempt number distinguishes
        // the new tasks.
        assertTrue(sim.runUntil(() -> runningInAttempt(job, 2) == 4, 30_000));
        assertEquals(sim.runningOf(job), 4);
        assertTrue(sim.runUntil(() -> sim.store.jobs.get(job).record().run() == 2, 2_000));
        assertEquals(sim.store.jobs.get(job).record().failedAttempts(0), 1);
        assertTrue(reaches(job, JobState.SUCCEEDED, 120_000));
    }

    @Test
    public void failingServiceIsRestartedWithGrowingDelay() {
        sim.failPercent = 100;
        sim.maxRunMillis = 100;
        JobId job = sim.submit(entry, "a", WorkKind.SERVICE, 1, CORE);
        sim.run(600_000);
        // Without the delay, each lease renewal would start a replica, about 60 in 600 s.
        assertTrue(startsOf(job) >= 8 && startsOf(job) <= 16, "starts " + startsOf(job));
        sim.failPercent = 0;
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 1, 90_000));
        sim.workers.values().forEach(FakeWorker::restart);
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 1, 90_000));
    }

    @Test
    public void takeoverWaitsForAnUnreachableWorker() {
        sim.minRunMillis = 300_000;
        sim.maxRunMillis = 300_001;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 8, CORE);
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 8, 5_000));
        sim.workers.values().iterator().next().unreachableFrom.add("entry-1");
        FakeEntry second = sim.addEntry("entry-1", 0);
        sim.run(3_000);
        entry.dead = true;
        sim.run(25_000);
        assertTrue(second.state.shards().containsKey(ShardId.of("zone-0")));
        assertEquals(queued(second), 0);
        sim.run(40_000);
        // The four tasks of the worker whose lease expired wait for free capacity on the other
        // worker.
        assertEquals(queued(second), 4);
    }

    @Test
    public void checkpointedTaskKeepsItsAttemptNumber() {
        sim.minRunMillis = 60_000;
        sim.maxRunMillis = 60_001;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 1, 5_000));
        for (FakeWorker worker : sim.workers.values()) {
            for (var task : List.copyOf(worker.running.keySet())) {
                worker.end(task, EndReason.CHECKPOINTED);
            }
        }
        assertTrue(sim.runUntil(() -> startsOf(job) == 2, 20_000));
        sim.run(2_000);
        JobRecord record = sim.store.jobs.get(job).record();
        assertEquals(record.progress().get(0), 0.25);
        assertEquals(record.failedAttempts(0), 0);
        assertTrue(reaches(job, JobState.SUCCEEDED, 120_000));
    }

    /** Starts a job that fills zone 0, then adds a zone with capacity for 8 of its tasks. */
    private JobId startJobNextToAnIdleShard() {
        sim.minRunMillis = 100_000;
        sim.maxRunMillis = 100_001;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 40, CORE);
        sim.run(2_000);
        sim.addWorker(1, 8);
        var listings = sim.workers.values().stream().map(w -> w.listing).toList();
        sim.addEntry("entry-1", 1);
        sim.apply(entry, new FleetEvent.WorkersListed(sim.now, TreePVector.from(listings)));
        return job;
    }

    private boolean hasMoved(JobId job) {
        return sim.store.jobs.get(job).record().parts().stream()
                .anyMatch(p -> !p.shard().equals(ShardId.of("zone-0")));
    }

    private boolean isAnnounced(JobId job) {
        return sim.store.jobs.get(job).record().parts().stream()
                .anyMatch(p -> p.movingTo().isPresent());
    }

    @Test
    public void queuedTasksMoveToAnIdleShard() {
        JobId job = startJobNextToAnIdleShard();
        assertTrue(sim.runUntil(() -> sim.runningOf(job) == 16, 60_000));
        JobRecord record = sim.store.jobs.get(job).record();
        assertEquals(record.parts().size(), 2);
        assertFalse(isAnnounced(job));
        assertEquals(record.parts().stream().mapToInt(JobPart::size).sum(), 40);
    }

    @Test
    public void tasksMoveOnlyAfterAllWorkersRenewedTheirLeases() {
        JobId job = startJobNextToAnIdleShard();
        // The worker is unreachable from before the announcement on, so no owner can renew its
        // lease.
        sim.workers.values().iterator().next().unreachableFrom.add("*");
        assertTrue(sim.runUntil(() -> isAnnounced(job), 30_000));
        assertFalse(
                sim.runUntil(() -> hasMoved(job) || sim.runningOf(job) > 8, 60_000),
                "an announced migration must wait until all workers renewed their leases");
        assertTrue(
                sim.runUntil(() -> !isAnnounced(job), 60_000),
                "a migration that cannot be completed must be withdrawn");
        assertTrue(
                sim.store.jobs.get(job).record().parts().stream()
                        .allMatch(p -> p.shard().equals(ShardId.of("zone-0"))));
    }

    @Test
    public void announcedMoveOfAnEarlierOwnerIsWithdrawn() {
        sim.minRunMillis = 100_000;
        sim.maxRunMillis = 100_001;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 20, CORE);
        sim.run(2_000);
        StoredJob stored = sim.store.jobs.get(job);
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
                sim.store.write(stored.revision(), announce.applyTo(stored.record())).get();
        assertEquals(queued(entry), 12);
        sim.apply(
                entry,
                new JobEvent.JobRecordsChanged(
                        sim.now, TreePVector.singleton(announced), TreePVector.empty()));
        assertEquals(queued(entry), 2);
        sim.run(5_000);
        assertEquals(sim.store.jobs.get(job).record().parts().size(), 1);
        assertEquals(queued(entry), 12);
    }

    @Test
    public void recordsOfEndedJobsAreRemoved() {
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 1, CORE);
        assertTrue(reaches(job, JobState.SUCCEEDED, 60_000));
        sim.run(JobRetention.RETENTION_MILLIS / 2);
        assertTrue(sim.store.jobs.containsKey(job));
        sim.run(JobRetention.RETENTION_MILLIS / 2 + 10_000);
        assertFalse(sim.store.jobs.containsKey(job));
        assertEquals(entry.state.jobs().records().size(), 0);
        assertEquals(entry.state.jobs().endedByTime().size(), 0);
        assertTrue(sim.effects.stream().anyMatch(e -> e instanceof StoreEffect.DeleteJob));
    }
}
