package org.jujubefork.core.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against tasks that run twice, ends that are lost or counted twice, acknowledgements of
 * ends that are not durable, and jobs that never end, under random faults.
 */
public final class JobSequenceTest {
    private static final int SEEDS = Integer.getInteger("jobs.seeds", 12);
    private static final long FIRST_SEED = Long.getLong("jobs.firstSeed", 1);
    private static final long FAULT_MILLIS = 180_000;
    private static final long QUIET_MILLIS = 3_600_000;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {FIRST_SEED + i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void jobsSurviveFaults(long seed) {
        JobsWorld world = new JobsWorld(seed);
        for (int zone = 0; zone < 2; zone++) {
            for (int i = 0; i < 3; i++) {
                world.addWorker(zone, 4);
            }
        }
        List<FakeEntry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(world.addEntry("entry-" + i, i % 2));
        }
        world.run(5_000);
        world.failPercent = 8;
        List<JobId> jobs = new ArrayList<>();
        Set<JobId> cancelled = new HashSet<>();
        long end = world.now + FAULT_MILLIS;
        while (world.now < end) {
            world.run(world.random.nextInt(1, 1_500));
            act(world, entries, jobs, cancelled);
        }
        calm(world, entries);
        world.run(60_000);
        jobs.add(world.submit(entries.get(0), "last", WorkKind.BATCH, 60, JobsFixtures.CORE));
        world.run(5_000);
        assertTrue(world.store.jobs.containsKey(JobId.of("last")), "seed " + seed + ": refused");
        boolean ended = world.runUntil(() -> allDone(world, jobs), QUIET_MILLIS);
        assertTrue(ended, "seed " + seed + ": not ended: " + open(world, jobs));
        checkEnds(world, seed);
        Reporter.log(
                "seed "
                        + seed
                        + ": jobs "
                        + jobs.size()
                        + ", starts "
                        + world.starts
                        + ", writes "
                        + world.store.writes
                        + ", claims "
                        + count(world, DecisionKind.SHARD_CLAIMED, "")
                        + ", moves "
                        + count(world, DecisionKind.RETRIED, "moving"),
                true);
        assertTrue(world.starts >= 60, "seed " + seed + " starts too little: " + world.starts);
    }

    private static void act(
            JobsWorld world, List<FakeEntry> entries, List<JobId> jobs, Set<JobId> cancelled) {
        var random = world.random;
        FakeEntry entry = entries.get(random.nextInt(entries.size()));
        List<FakeWorker> workers = new ArrayList<>(world.workers.values());
        FakeWorker worker = workers.get(random.nextInt(workers.size()));
        boolean up = !entry.dead && entry.pausedUntil <= world.now;
        switch (random.nextInt(17)) {
            case 0, 1, 2 -> {
                if (up && jobs.size() < 25) {
                    jobs.add(submit(world, entry, jobs.size()));
                }
            }
            case 3 -> {
                if (up && !jobs.isEmpty() && random.nextInt(3) == 0) {
                    JobId job = jobs.get(random.nextInt(jobs.size()));
                    cancelled.add(job);
                    world.cancel(entry, job);
                }
            }
            case 4 -> worker.unreachableFrom.add(entry.name);
            case 5 -> worker.unreachableFrom.add("*");
            case 6, 7 -> workers.forEach(w -> w.unreachableFrom.clear());
            case 8 -> {
                if (random.nextInt(4) == 0) {
                    worker.restart();
                }
            }
            case 9 -> entry.pausedUntil = world.now + random.nextInt(20_000);
            case 10 -> crashOrRestart(world, entry);
            case 11 -> world.store.down = random.nextInt(3) > 0;
            case 12 -> entry.storeCut = random.nextInt(3) > 0;
            case 13 -> {
                world.lostWritePercent = random.nextInt(3) * 20;
                world.lostAnswerPercent = random.nextInt(3) * 10;
            }
            case 14 -> {
                world.store.down = false;
                entries.forEach(e -> e.storeCut = false);
            }
            case 15 -> entry.gossipCut = random.nextInt(3) > 0;
            default -> entries.forEach(e -> e.gossipCut = false);
        }
    }

    private static void crashOrRestart(JobsWorld world, FakeEntry entry) {
        if (entry.dead) {
            world.boot(entry, world.now);
        } else if (world.random.nextInt(2) == 0) {
            entry.dead = true;
        }
    }

    private static JobId submit(JobsWorld world, FakeEntry entry, int number) {
        WorkKind kind =
                switch (world.random.nextInt(5)) {
                    case 0 -> WorkKind.GANG;
                    // More replicas could fill a zone for good, so that no gang fits any more.
                    case 1 -> number < 8 ? WorkKind.SERVICE : WorkKind.BATCH;
                    default -> WorkKind.BATCH;
                };
        int tasks =
                switch (kind) {
                    case GANG -> world.random.nextInt(2, 6);
                    case SERVICE -> world.random.nextInt(1, 3);
                    default -> world.random.nextInt(1, 200);
                };
        return world.submit(entry, "job-" + number, kind, tasks, JobsFixtures.CORE);
    }

    private static void calm(JobsWorld world, List<FakeEntry> entries) {
        world.store.down = false;
        world.lostAnswerPercent = 0;
        world.lostWritePercent = 0;
        world.workers.values().forEach(w -> w.unreachableFrom.clear());
        for (FakeEntry entry : entries) {
            entry.pausedUntil = 0;
            entry.storeCut = false;
            entry.gossipCut = false;
            if (entry.dead) {
                world.boot(entry, world.now);
            }
        }
    }

    private static long count(JobsWorld world, DecisionKind kind, String reason) {
        return world.effects.stream()
                .filter(e -> e instanceof LogDecision d && d.kind() == kind)
                .filter(e -> ((LogDecision) e).reason().startsWith(reason))
                .count();
    }

    private static boolean allDone(JobsWorld world, List<JobId> jobs) {
        return open(world, jobs).isEmpty();
    }

    private static List<String> open(JobsWorld world, List<JobId> jobs) {
        List<String> open = new ArrayList<>();
        for (JobId job : jobs) {
            StoredJob stored = world.store.jobs.get(job);
            if (stored == null) {
                continue;
            }
            JobRecord record = stored.record();
            boolean done =
                    record.state().isFinal()
                            ? world.runningOf(job) == 0
                            : record.kind() == WorkKind.SERVICE
                                    && world.runningOf(job) == record.tasks();
            if (!done) {
                open.add(describe(world, record));
            }
        }
        return open;
    }

    private static String describe(JobsWorld world, JobRecord record) {
        StringBuilder text = new StringBuilder(record.toString());
        text.append(" running ").append(world.runningOf(record.id()));
        for (FakeEntry entry : world.entries.values()) {
            for (var shard : entry.state.shards().values()) {
                ShardJobs jobs = JobQueue.shardJobs(entry.state, shard.id());
                text.append("\n  ").append(entry.name).append(' ').append(shard.id());
                text.append(" settled ").append(jobs.settled());
                text.append(" free ").append(shard.workerIndex().byFree());
                text.append(' ').append(jobs.part(record.id()));
                text.append(" refill ").append(jobs.refill());
            }
        }
        return text.toString();
    }

    /** Compares the records with what happened on the workers. */
    private static void checkEnds(JobsWorld world, long seed) {
        for (StoredJob stored : world.store.jobs.values()) {
            JobRecord record = stored.record();
            Set<Integer> succeeded = new HashSet<>();
            Set<TaskId> failed = new HashSet<>();
            for (EndedTask end : world.realEnds) {
                JobTask what = end.spec().job().orElseThrow();
                if (what.job().equals(record.id()) && end.reason() == EndReason.SUCCEEDED) {
                    succeeded.add(what.index());
                } else if (what.job().equals(record.id())) {
                    failed.add(end.spec().id());
                }
            }
            String where = "seed " + seed + ", " + record.id();
            assertTrue(succeeded.containsAll(record.succeeded()), where + " invents a success");
            int counted = record.attempts().values().stream().mapToInt(n -> n).sum();
            assertTrue(counted <= failed.size(), where + " counts " + counted + " of " + failed);
            if (record.state() == JobState.SUCCEEDED) {
                assertEquals(record.succeeded().size(), record.tasks(), where);
            }
        }
    }
}
