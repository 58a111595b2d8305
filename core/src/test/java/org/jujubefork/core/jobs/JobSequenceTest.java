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
 * Guards against tasks that run twice, completions that are lost, counted twice or acknowledged
 * before they are durable, and jobs that never end, all under random faults.
 */
public final class JobSequenceTest {
    private static final int SEEDS = Integer.getInteger("jobs.seeds", 12);
    private static final long FIRST_SEED = Long.getLong("jobs.firstSeed", 1);
    private static final long FAULT_PHASE_MILLIS = 180_000;
    private static final long MAX_COMPLETION_MILLIS = 3_600_000;

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
        JobsSimulation sim = new JobsSimulation(seed);
        for (int zone = 0; zone < 2; zone++) {
            for (int i = 0; i < 3; i++) {
                sim.addWorker(zone, 4);
            }
        }
        List<FakeEntry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(sim.addEntry("entry-" + i, i % 2));
        }
        sim.run(5_000);
        sim.failPercent = 8;
        List<JobId> jobs = new ArrayList<>();
        Set<JobId> cancelled = new HashSet<>();
        long faultsEndMillis = sim.now + FAULT_PHASE_MILLIS;
        while (sim.now < faultsEndMillis) {
            sim.run(sim.random.nextInt(1, 1_500));
            performRandomAction(sim, entries, jobs, cancelled);
        }
        endFaults(sim, entries);
        sim.run(60_000);
        jobs.add(sim.submit(entries.get(0), "last", WorkKind.BATCH, 60, JobsFixtures.CORE));
        sim.run(5_000);
        assertTrue(
                sim.store.jobs.containsKey(JobId.of("last")),
                "seed " + seed + ": the last job was not accepted");
        boolean haveAllEnded = sim.runUntil(() -> allDone(sim, jobs), MAX_COMPLETION_MILLIS);
        assertTrue(haveAllEnded, "seed " + seed + ": unfinished jobs: " + unfinished(sim, jobs));
        checkRecords(sim, seed);
        Reporter.log(
                "seed "
                        + seed
                        + ": jobs "
                        + jobs.size()
                        + ", starts "
                        + sim.startCount
                        + ", writes "
                        + sim.store.writeCount
                        + ", claims "
                        + count(sim, DecisionKind.SHARD_CLAIMED, "")
                        + ", moves "
                        + count(sim, DecisionKind.RETRIED, "moving"),
                true);
        assertTrue(
                sim.startCount >= 60, "seed " + seed + ": too few task starts: " + sim.startCount);
    }

    private static void performRandomAction(
            JobsSimulation sim, List<FakeEntry> entries, List<JobId> jobs, Set<JobId> cancelled) {
        var random = sim.random;
        FakeEntry entry = entries.get(random.nextInt(entries.size()));
        List<FakeWorker> workers = new ArrayList<>(sim.workers.values());
        FakeWorker worker = workers.get(random.nextInt(workers.size()));
        boolean isRunning = !entry.dead && entry.pausedUntilMillis <= sim.now;
        switch (random.nextInt(17)) {
            case 0, 1, 2 -> {
                if (isRunning && jobs.size() < 25) {
                    jobs.add(submit(sim, entry, jobs.size()));
                }
            }
            case 3 -> {
                if (isRunning && !jobs.isEmpty() && random.nextInt(3) == 0) {
                    JobId job = jobs.get(random.nextInt(jobs.size()));
                    cancelled.add(job);
                    sim.cancel(entry, job);
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
            case 9 -> entry.pausedUntilMillis = sim.now + random.nextInt(20_000);
            case 10 -> crashOrRestart(sim, entry);
            case 11 -> sim.store.down = random.nextInt(3) > 0;
            case 12 -> entry.isStoreUnreachable = random.nextInt(3) > 0;
            case 13 -> {
                sim.lostWritePercent = random.nextInt(3) * 20;
                sim.lostAnswerPercent = random.nextInt(3) * 10;
            }
            case 14 -> {
                sim.store.down = false;
                entries.forEach(e -> e.isStoreUnreachable = false);
            }
            case 15 -> entry.isGossipBlocked = random.nextInt(3) > 0;
            default -> entries.forEach(e -> e.isGossipBlocked = false);
        }
    }

    private static void crashOrRestart(JobsSimulation sim, FakeEntry entry) {
        if (entry.dead) {
            sim.boot(entry, sim.now);
        } else if (sim.random.nextInt(2) == 0) {
            entry.dead = true;
        }
    }

    private static JobId submit(JobsSimulation sim, FakeEntry entry, int number) {
        WorkKind kind =
                switch (sim.random.nextInt(5)) {
                    case 0 -> WorkKind.GANG;
                    // More replicas could fill a zone permanently, so that gangs would never fit.
                    case 1 -> number < 8 ? WorkKind.SERVICE : WorkKind.BATCH;
                    default -> WorkKind.BATCH;
                };
        int tasks =
                switch (kind) {
                    case GANG -> sim.random.nextInt(2, 6);
                    case SERVICE -> sim.random.nextInt(1, 3);
                    default -> sim.random.nextInt(1, 200);
                };
        return sim.submit(entry, "job-" + number, kind, tasks, JobsFixtures.CORE);
    }

    private static void endFaults(JobsSimulation sim, List<FakeEntry> entries) {
        sim.store.down = false;
        sim.lostAnswerPercent = 0;
        sim.lostWritePercent = 0;
        sim.workers.values().forEach(w -> w.unreachableFrom.clear());
        for (FakeEntry entry : entries) {
            entry.pausedUntilMillis = 0;
            entry.isStoreUnreachable = false;
            entry.isGossipBlocked = false;
            if (entry.dead) {
                sim.boot(entry, sim.now);
            }
        }
    }

    private static long count(JobsSimulation sim, DecisionKind kind, String reason) {
        return sim.effects.stream()
                .filter(e -> e instanceof LogDecision d && d.kind() == kind)
                .filter(e -> ((LogDecision) e).reason().startsWith(reason))
                .count();
    }

    private static boolean allDone(JobsSimulation sim, List<JobId> jobs) {
        return unfinished(sim, jobs).isEmpty();
    }

    private static List<String> unfinished(JobsSimulation sim, List<JobId> jobs) {
        List<String> unfinishedJobs = new ArrayList<>();
        for (JobId job : jobs) {
            StoredJob stored = sim.store.jobs.get(job);
            if (stored == null) {
                continue;
            }
            JobRecord record = stored.record();
            boolean isFinished =
                    record.state().isFinal()
                            ? sim.runningOf(job) == 0
                            : record.kind() == WorkKind.SERVICE
                                    && sim.runningOf(job) == record.tasks();
            if (!isFinished) {
                unfinishedJobs.add(describe(sim, record));
            }
        }
        return unfinishedJobs;
    }

    private static String describe(JobsSimulation sim, JobRecord record) {
        StringBuilder text = new StringBuilder(record.toString());
        text.append(" running ").append(sim.runningOf(record.id()));
        for (FakeEntry entry : sim.entries.values()) {
            for (var shard : entry.state.shards().values()) {
                ShardJobs jobs = TaskEnqueuer.shardJobs(entry.state, shard.id());
                text.append("\n  ").append(entry.name).append(' ').append(shard.id());
                text.append(" all tasks known ").append(jobs.allTasksKnown());
                text.append(" free ").append(shard.workerIndex().byFree());
                text.append(' ').append(jobs.tasksOf(record.id()));
                text.append(" jobs to refill ").append(jobs.jobsToRefill());
            }
        }
        return text.toString();
    }

    /** Checks the stored records against the completions that occurred on the workers. */
    private static void checkRecords(JobsSimulation sim, long seed) {
        for (StoredJob stored : sim.store.jobs.values()) {
            JobRecord record = stored.record();
            Set<Integer> succeededIndexes = new HashSet<>();
            Set<TaskId> failedTasks = new HashSet<>();
            for (EndedTask completion : sim.completions) {
                JobTask jobTask = completion.spec().jobTask().orElseThrow();
                if (jobTask.job().equals(record.id())
                        && completion.reason() == EndReason.SUCCEEDED) {
                    succeededIndexes.add(jobTask.index());
                } else if (jobTask.job().equals(record.id())) {
                    failedTasks.add(completion.spec().id());
                }
            }
            String context = "seed " + seed + ", " + record.id();
            assertTrue(
                    succeededIndexes.containsAll(record.succeeded()),
                    context + ": record has a success that did not occur");
            int countedFailures = record.failedAttempts().values().stream().mapToInt(n -> n).sum();
            assertTrue(
                    countedFailures <= failedTasks.size(),
                    context + ": record counts " + countedFailures + " failures of " + failedTasks);
            if (record.state() == JobState.SUCCEEDED) {
                assertEquals(record.succeeded().size(), record.tasks(), context);
            }
        }
    }
}
