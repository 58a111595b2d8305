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

/** Guards against jobs that are accepted before they are durable, or refused but stored. */
public final class SubmissionsTest {
    private static final Resources CORE = JobsFixtures.CORE;

    private JobsSimulation sim;
    private FakeEntry entry;

    @BeforeMethod
    public void start() {
        sim = new JobsSimulation(7);
        for (int zone = 0; zone < 2; zone++) {
            sim.addWorker(zone, 4);
            sim.addWorker(zone, 4);
        }
        entry = sim.addEntry("entry-0", 0);
        sim.addEntry("entry-1", 1);
        sim.run(5_000);
    }

    private RequestEffect.Refuse refusal(String job) {
        return (RequestEffect.Refuse) sim.answers.get(RequestId.of("submit-" + job));
    }

    private RefusalReason refusalReason(String job, WorkKind kind, int tasks, Resources size) {
        sim.submit(entry, job, kind, tasks, size);
        sim.run(1_000);
        assertEquals(refusal(job).result().outcome(), Outcome.NOT_RUN);
        assertFalse(sim.store.jobs.containsKey(JobId.of(job)));
        return refusal(job).result().reason();
    }

    @Test
    public void acceptsOnlyAfterTheWrite() {
        sim.store.down = true;
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        sim.run(500);
        assertEquals(refusal("a").result().reason(), RefusalReason.STORE_UNAVAILABLE);
        assertEquals(refusal("a").result().outcome(), Outcome.NOT_RUN);
        sim.store.down = false;
        sim.run(10_000);
        assertFalse(sim.store.jobs.containsKey(job), "a refused job must not appear later");
    }

    @Test
    public void readsBackAWriteWhoseAnswerWasLost() {
        sim.lostWritePercent = 100;
        sim.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        sim.run(2_000);
        assertEquals(
                sim.answers.get(RequestId.of("submit-a")),
                new RequestEffect.AcceptJob(RequestId.of("submit-a"), JobId.of("a")));
    }

    @Test
    public void answersUnknownWhenTheWriteCannotBeReadBack() {
        sim.lostWritePercent = 100;
        sim.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        sim.run(40);
        entry.isStoreUnreachable = true;
        entry.lastSeenRevision = sim.store.revision;
        sim.run(Submissions.SUBMIT_TIMEOUT_MILLIS + 2_000);
        assertEquals(refusal("a").result().outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void repeatedSubmissionFindsTheFirstJob() {
        JobId job = sim.submit(entry, "a", WorkKind.BATCH, 3, CORE);
        JobSpec spec =
                new JobSpec(
                        JobsFixtures.queue(WorkKind.BATCH),
                        "again",
                        9,
                        Optional.empty(),
                        "",
                        Optional.empty());
        // The other entry has not read the record yet, so its write conflicts.
        sim.submit(sim.entries.get("entry-1"), RequestId.of("again"), job, spec);
        sim.run(2_000);
        assertEquals(
                sim.answers.get(RequestId.of("again")),
                new RequestEffect.AcceptJob(RequestId.of("again"), job));
        assertEquals(sim.store.jobs.size(), 1);
    }

    @Test
    public void refusesJobsThatCanNeverRun() {
        assertEquals(
                refusalReason("a", WorkKind.BATCH, 1, CORE.times(5)), RefusalReason.NEVER_FITS);
        assertEquals(refusalReason("b", WorkKind.GANG, 9, CORE), RefusalReason.GANG_NEVER_FITS);
        // A zone has 8 cores, but each of its two workers holds only one task of 3 cores.
        assertEquals(
                refusalReason("c", WorkKind.GANG, 3, CORE.times(3)), RefusalReason.GANG_NEVER_FITS);
        assertEquals(
                refusalReason("d", WorkKind.BATCH, 1, CORE.times(200_000)),
                RefusalReason.ABOVE_LIMIT);
        assertEquals(
                refusalReason("e", WorkKind.BATCH, 1, Resources.ZERO), RefusalReason.SIZE_INVALID);
        assertEquals(
                refusalReason("f", WorkKind.BATCH, Submissions.MAX_TASKS + 1, CORE),
                RefusalReason.JOB_TOO_LARGE);
    }

    @Test
    public void refusesWithoutKeyAndWhileDraining() {
        JobSpec spec =
                new JobSpec(QueueId.of("closed"), "", 1, Optional.empty(), "", Optional.empty());
        sim.submit(entry, RequestId.of("submit-k"), JobId.of("k"), spec);
        sim.apply(entry, new DrainRequested(sim.now));
        sim.submit(entry, "d", WorkKind.BATCH, 1, CORE);
        sim.run(100);
        assertEquals(refusal("k").result().reason(), RefusalReason.KEY_MISSING);
        assertEquals(refusal("d").result().reason(), RefusalReason.DRAINING);
    }

    @Test
    public void partitionsByKind() {
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
    public void manyCancellationsAreSpreadOverTime() {
        sim.minRunMillis = 400_000;
        sim.maxRunMillis = 500_000;
        for (int i = 0; i < 300; i++) {
            sim.submit(entry, "job-" + i, WorkKind.BATCH, 2, CORE);
        }
        sim.run(20_000);
        int effectCountBefore = sim.effects.size();
        for (int i = 0; i < 300; i++) {
            sim.cancel(entry, JobId.of("job-" + i));
        }
        sim.run(1_000);
        long writeCount =
                sim.effects.subList(effectCountBefore, sim.effects.size()).stream()
                        .filter(e -> e instanceof StoreEffect.WriteJob)
                        .count();
        assertTrue(
                writeCount <= 2 * JobRecordWriter.MAX_WRITES_PER_SECOND,
                "writes in a second: " + writeCount);
        sim.run(60_000);
        for (int i = 0; i < 300; i++) {
            assertEquals(sim.stateOf(JobId.of("job-" + i)), JobState.CANCELLED);
            assertTrue(
                    sim.answers.get(RequestId.of("cancel-job-" + i))
                            instanceof RequestEffect.AcceptJob);
        }
        assertTrue(sim.workers.values().stream().allMatch(w -> w.running.isEmpty()));
        assertTrue(entry.state.shards().values().stream().allMatch(s -> s.queue().size() == 0));
    }
}
