package org.jujubefork.core.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.DrainRequested;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against jobs that are accepted without being durable, or refused although they may be. */
public final class SubmissionsTest {
    private static final Resources CORE = JobsFixtures.CORE;

    private JobsSimulation world;
    private FakeEntry entry;

    @BeforeMethod
    public void start() {
        world = new JobsSimulation(7);
        for (int zone = 0; zone < 2; zone++) {
            world.addWorker(zone, 4);
            world.addWorker(zone, 4);
        }
        entry = world.addEntry("entry-0", 0);
        world.addEntry("entry-1", 1);
        world.run(5_000);
    }

    private RequestEffect.Refuse refusal(String job) {
        return (RequestEffect.Refuse) world.answers.get(RequestId.of("submit-" + job));
    }

    private RefusalReason refused(String job, WorkKind kind, int tasks, Resources size) {
        world.submit(entry, job, kind, tasks, size);
        world.run(1_000);
        assertEquals(refusal(job).result().outcome(), Outcome.NOT_RUN);
        assertFalse(world.store.jobs.containsKey(JobId.of(job)));
        return refusal(job).result().reason();
    }

    @Test
    public void acceptsOnlyAfterTheWrite() {
        world.store.down = true;
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        world.run(500);
        assertEquals(refusal("a").result().reason(), RefusalReason.STORE_UNAVAILABLE);
        assertEquals(refusal("a").result().outcome(), Outcome.NOT_RUN);
        world.store.down = false;
        world.run(10_000);
        assertFalse(world.store.jobs.containsKey(job), "a refused job must not appear later");
    }

    @Test
    public void readsBackAWriteWhoseAnswerWasLost() {
        world.lostWritePercent = 100;
        world.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        world.run(2_000);
        assertEquals(
                world.answers.get(RequestId.of("submit-a")),
                new RequestEffect.AcceptJob(RequestId.of("submit-a"), JobId.of("a")));
    }

    @Test
    public void answersUnknownWhenTheWriteCannotBeReadBack() {
        world.lostWritePercent = 100;
        world.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        world.run(40);
        entry.storeCut = true;
        entry.seenRevision = world.store.revision;
        world.run(Submissions.SUBMIT_TIMEOUT_MILLIS + 2_000);
        assertEquals(refusal("a").result().outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void repeatedSubmissionFindsTheFirstJob() {
        JobId job = world.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        JobSpec spec =
                new JobSpec(
                        JobsFixtures.queue(WorkKind.BATCH),
                        "again",
                        9,
                        Optional.empty(),
                        "",
                        Optional.empty());
        // The other entry has not seen the record yet, so that its write conflicts.
        world.submit(world.entries.get("entry-1"), RequestId.of("again"), job, spec);
        world.run(2_000);
        assertEquals(
                world.answers.get(RequestId.of("again")),
                new RequestEffect.AcceptJob(RequestId.of("again"), job));
        assertEquals(world.store.jobs.size(), 1);
    }

    @Test
    public void refusesWhatCanNeverRun() {
        assertEquals(refused("a", WorkKind.BATCH, 1, CORE.times(5)), RefusalReason.NEVER_FITS);
        assertEquals(refused("b", WorkKind.GANG, 9, CORE), RefusalReason.GANG_NEVER_FITS);
        // Two tasks of 3 cores fit in the total of a zone of 8, but each takes a worker of its own.
        assertEquals(refused("c", WorkKind.GANG, 3, CORE.times(3)), RefusalReason.GANG_NEVER_FITS);
        assertEquals(
                refused("d", WorkKind.BATCH, 1, CORE.times(200_000)), RefusalReason.ABOVE_LIMIT);
        assertEquals(refused("e", WorkKind.BATCH, 1, Resources.ZERO), RefusalReason.SIZE_INVALID);
        assertEquals(
                refused("f", WorkKind.BATCH, Submissions.MAX_TASKS + 1, CORE),
                RefusalReason.JOB_TOO_LARGE);
    }

    @Test
    public void refusesWithoutKeyAndWhileDraining() {
        JobSpec spec =
                new JobSpec(QueueId.of("closed"), "", 1, Optional.empty(), "", Optional.empty());
        world.submit(entry, RequestId.of("submit-k"), JobId.of("k"), spec);
        world.apply(entry, new DrainRequested(world.now));
        world.submit(entry, "d", WorkKind.BATCH, 1, CORE);
        world.run(100);
        assertEquals(refusal("k").result().reason(), RefusalReason.KEY_MISSING);
        assertEquals(refusal("d").result().reason(), RefusalReason.DRAINING);
    }

    @Test
    public void dividesByKind() {
        var small = JobPartitioner.partition(entry.state, WorkKind.BATCH, 16, CORE);
        var large = JobPartitioner.partition(entry.state, WorkKind.BATCH, 100, CORE);
        var service = JobPartitioner.partition(entry.state, WorkKind.SERVICE, 5, CORE);
        var gang = JobPartitioner.partition(entry.state, WorkKind.GANG, 8, CORE);
        assertEquals(small.size(), 1);
        assertEquals(large.stream().map(JobPart::size).toList(), List.of(50, 50));
        assertEquals(service.stream().map(JobPart::size).toList(), List.of(3, 2));
        assertEquals(gang.size(), 1);
    }

    @Test
    public void aWaveOfCancellationsIsWrittenAndStoppedOverTime() {
        world.minRunMillis = 400_000;
        world.maxRunMillis = 500_000;
        for (int i = 0; i < 300; i++) {
            world.submit(entry, "job-" + i, WorkKind.BATCH, 2, CORE);
        }
        world.run(20_000);
        int before = world.effects.size();
        for (int i = 0; i < 300; i++) {
            world.cancel(entry, JobId.of("job-" + i));
        }
        world.run(1_000);
        long writes =
                world.effects.subList(before, world.effects.size()).stream()
                        .filter(e -> e instanceof StoreEffect.WriteJob)
                        .count();
        assertTrue(
                writes <= 2 * JobRecordWriter.MAX_WRITES_PER_SECOND,
                "writes in a second: " + writes);
        world.run(60_000);
        for (int i = 0; i < 300; i++) {
            assertEquals(world.stateOf(JobId.of("job-" + i)), JobState.CANCELLED);
            assertTrue(
                    world.answers.get(RequestId.of("cancel-job-" + i))
                            instanceof RequestEffect.AcceptJob);
        }
        assertTrue(world.workers.values().stream().allMatch(w -> w.running.isEmpty()));
        assertTrue(entry.state.shards().values().stream().allMatch(s -> s.queue().size() == 0));
    }
}
