package org.jujubefork.core.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.TreePVector;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Guards against completions that are counted twice, or whose result depends on their order. */
public final class CompletionMergerTest {
    private static JobRecord record(WorkKind kind, int tasks) {
        return JobRecord.submitted(
                new JobDefinition(
                        JobId.of("job"),
                        JobsFixtures.TEAM,
                        JobsFixtures.queue(kind),
                        kind,
                        "name",
                        tasks,
                        JobsFixtures.CORE,
                        "",
                        0),
                TreePVector.singleton(JobPart.of(ShardId.of("zone-0"), 0, tasks)));
    }

    private static PendingCompletion completion(int index, int attempt, EndReason reason) {
        TaskId task = TaskId.of("task-" + index + "." + attempt);
        return new PendingCompletion(Optional.empty(), task, index, attempt, reason, "why", 0.5);
    }

    @Test
    public void mergingTwiceOrInAnyOrderGivesTheSameRecord() {
        long seed = 42;
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        List<PendingCompletion> completions = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            completions.add(completion(index, 1, EndReason.FAILED));
            completions.add(
                    completion(
                            index,
                            2,
                            random.nextBoolean() ? EndReason.FAILED : EndReason.SUCCEEDED));
        }
        JobRecord first = null;
        for (int round = 0; round < 50; round++) {
            Collections.shuffle(completions, random);
            JobRecord merged = record(WorkKind.BATCH, 30);
            for (PendingCompletion completion : completions) {
                merged =
                        CompletionMerger.merge(
                                CompletionMerger.merge(merged, completion, 9), completion, 9);
            }
            first = first == null ? merged : first;
            assertEquals(merged.succeeded(), first.succeeded());
            for (PendingCompletion completion : completions) {
                assertTrue(CompletionMerger.includes(merged, completion));
            }
        }
    }

    @Test
    public void completionOfAnEarlierGangRunIsIgnored() {
        JobRecord second =
                CompletionMerger.merge(
                        record(WorkKind.GANG, 3), completion(0, 1, EndReason.FAILED), 3);
        assertEquals(second.run(), 2);
        assertEquals(second.failedAttempts(0), 1);
        assertSame(
                CompletionMerger.merge(second, completion(1, 1, EndReason.SUCCEEDED), 3), second);
        assertSame(CompletionMerger.merge(second, completion(1, 1, EndReason.FAILED), 3), second);
        JobRecord third = CompletionMerger.merge(second, completion(1, 2, EndReason.STOPPED), 3);
        assertEquals(third.run(), 3);
        assertEquals(third.failedAttempts(0), 1);
    }

    @Test
    public void changeAppliesOnlyToTheAnnouncedPart() {
        ShardId from = ShardId.of("zone-0");
        ShardId to = ShardId.of("zone-1");
        JobRecord record = record(WorkKind.BATCH, 10);
        JobPartChange move =
                new JobPartChange(from, 6, 10, Optional.of(to), to, Optional.empty(), 5);
        assertSame(move.applyTo(record), record);
        JobPartChange announce =
                new JobPartChange(from, 6, 10, Optional.empty(), from, Optional.of(to), 0);
        JobRecord announced = announce.applyTo(record);
        JobRecord moved = move.applyTo(announced);
        assertEquals(moved.parts(), List.of(JobPart.of(from, 0, 6), JobPart.of(to, 6, 10)));
        assertTrue(
                move.isResolved(new StoredJob(6, announced)),
                "a later revision invalidates the change");
    }
}
