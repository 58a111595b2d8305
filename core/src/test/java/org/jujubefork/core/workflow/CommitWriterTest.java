package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEffect.Entry;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.testng.annotations.Test;

/**
 * Guards against commits that delay callers, and against store records that are missing or never
 * removed.
 */
public final class CommitWriterTest {
    private static final int JOB_COUNT = 20;

    private static LeaderFixture leader(List<Job> jobs, List<FinishedJob> finished) {
        LeaderFixture leader =
                LeaderFixture.leading(
                        LeaderFixture.configuration(1_000),
                        new WorkflowEvent.Snapshot(jobs, finished, List.of(), SilentWorkers.NONE));
        leader.listWorkers("a");
        leader.advance(40);
        leader.answerLeaseRenewal("a");
        leader.advance(40);
        leader.storeAll();
        return leader;
    }

    /**
     * Guards against accepted jobs whose callers wait for several commits. On a slow store, each
     * additional commit delays them by a quarter of a second.
     */
    @Test
    public void acceptancesAndCompletionsShareOneCommit() {
        List<Job> running = new ArrayList<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            running.add(LeaderFixture.acceptedJob("old" + i, LeaderFixture.job(64), 100_000));
        }
        LeaderFixture leader = leader(running, List.of());
        leader.submit("first", LeaderFixture.job(1));
        leader.advance(20);
        List<Long> requests = new ArrayList<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            leader.cancel("old" + i);
            requests.add(leader.submit("new" + i, LeaderFixture.job(1)));
        }
        leader.storeNext();
        leader.advance(20);
        leader.storeNext();
        for (long request : requests) {
            assertEquals(leader.answer(request), Optional.of(new Reply.Done()));
        }
    }

    /** Guards against records of ended jobs that are never removed. */
    @Test
    public void recordsOfEndedJobsAreRemoved() {
        LeaderFixture leader =
                leader(
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(64), 100_000)),
                        List.of());
        leader.cancel("j");
        leader.advance(20);
        List<Entry> entries = new ArrayList<>(leader.storeAll());
        assertTrue(
                entries.stream().anyMatch(Entry.PutFinished.class::isInstance),
                "the finished job is not written: " + entries);
        leader.advance(1_000);
        entries.addAll(leader.storeAll());
        assertTrue(
                entries.contains(new Entry.RemoveJob("j")),
                "job record is not removed: " + entries);
        assertEquals(leader.state().commitQueue().jobRemovals().size(), 0);
    }

    /**
     * Guards against an ended job that runs again after a takeover, because its job record has not
     * been removed from the store yet.
     */
    @Test
    public void endedJobStaysEndedAfterTakeover() {
        LeaderFixture leader =
                leader(
                        List.of(LeaderFixture.acceptedJob("j", LeaderFixture.job(1), 100_000)),
                        List.of(
                                new FinishedJob(
                                        "j",
                                        LeaderFixture.QUEUE,
                                        Job.Status.DONE,
                                        LeaderFixture.wallMillis(100_000))));
        leader.advance(1_000);
        List<Entry> entries = leader.committedEntries();
        assertEquals(leader.startedWorkers(), List.of(), "an ended job was started");
        assertTrue(
                entries.contains(new Entry.RemoveJob("j")),
                "job record is not removed: " + entries);
    }
}
