package org.jujubefork.entry.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.FailedRuns;
import org.jujubefork.core.workflow.FinishedJob;
import org.jujubefork.core.workflow.Job;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.SilentWorkers;
import org.jujubefork.core.workflow.StepDefinition;
import org.jujubefork.core.workflow.StepKey;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/** Guards against records and messages whose values change when another entry decodes them. */
public final class RecordCodecTest {
    private static final WorkflowDefinition DEFINITION =
            new WorkflowDefinition(
                    "payload",
                    List.of(
                            new StepDefinition(
                                    3,
                                    Resources.of(1, 2, 3),
                                    4,
                                    List.of(),
                                    true,
                                    true,
                                    "label",
                                    "rack",
                                    5,
                                    true,
                                    true,
                                    true,
                                    true),
                            new StepDefinition(
                                    1,
                                    Resources.ZERO,
                                    0,
                                    List.of(0),
                                    false,
                                    false,
                                    "",
                                    "",
                                    0,
                                    false,
                                    false,
                                    false,
                                    false)),
                    2,
                    3,
                    4);

    /** Guards against records that an entry of an earlier version can't read, or has written. */
    @Test
    public void servicesKeepHowManyTasksTheyMayMiss() throws IOException {
        for (int mayMiss : List.of(0, 1, 200)) {
            StepDefinition step =
                    new StepDefinition(
                            3,
                            Resources.of(1, 2, 3),
                            4,
                            List.of(),
                            false,
                            false,
                            "",
                            "",
                            0,
                            false,
                            false,
                            true,
                            false,
                            mayMiss);
            Job job = job(step);
            byte[] record = RecordCodec.encodeJob(job);
            assertEquals(RecordCodec.decodeJob(record), job);
            // The record of an earlier version ends with the last step.
            byte[] old = RecordCodec.encodeJob(job(step.withMayMiss(0)));
            assertEquals(Arrays.copyOf(record, old.length), old);
            assertEquals(record.length == old.length, mayMiss == 0);
            Call submit = new Call.Submit("q", "t", "id", job.definition());
            LinkMessage forward = new LinkMessage.Forward(1, submit);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            forward.writeTo(new DataOutputStream(bytes));
            assertEquals(
                    LinkMessage.readFrom(
                            new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()))),
                    forward);
        }
    }

    private static Job job(StepDefinition step) {
        return Job.submitted(
                        "id",
                        "queue",
                        "team",
                        new WorkflowDefinition("p", List.of(step), 0, 0, 0),
                        new Job.Acceptance(7, 0, 1_700_000_000_000L, true))
                .asStored();
    }

    @Test
    public void jobAndProgressRoundTrip() throws IOException {
        Job job =
                Job.submitted(
                                "id",
                                "queue",
                                "team",
                                DEFINITION,
                                new Job.Acceptance(7, 0, 1_700_000_000_000L, true))
                        .asStored();
        assertEquals(RecordCodec.decodeJob(RecordCodec.encodeJob(job)), job);
        StepKey step = new StepKey("id", 1, 0);
        Job changedJob = job.withOccurrence(1);
        changedJob =
                changedJob.with(
                        step,
                        changedJob
                                .progress(step)
                                .withGangFailedRuns(FailedRuns.NONE.withRun(9).withRun(4)));
        changedJob = changedJob.with(step.task(0), changedJob.task(step.task(0)).asDone());
        changedJob =
                changedJob.with(
                        step.task(2),
                        changedJob
                                .task(step.task(2))
                                .asWaiting(FailedRuns.NONE.withRun(9).withRun(4), "point"));
        assertEquals(
                RecordCodec.withProgress(job, RecordCodec.encodeProgress(changedJob)), changedJob);
    }

    private static WorkerNode.Listing worker(long born) {
        return new WorkerNode.Listing(
                "w", "s", "a:1", "z", false, Resources.of(1, 2, 3), List.of("a", "r"), "r", born);
    }

    @Test
    public void otherRecordsRoundTrip() throws IOException {
        List<FinishedJob> finishedJobs =
                List.of(new FinishedJob("id", "queue", Job.Status.FAILED, 5));
        assertEquals(
                RecordCodec.decodeFinished(RecordCodec.encodeFinished(finishedJobs)), finishedJobs);
        List<WorkerNode.Listing> fleet = List.of(worker(1_790_000_000_000L));
        assertEquals(WorkerRecordCodec.decodeFleet(WorkerRecordCodec.encodeFleet(fleet)), fleet);
        SilentWorkers silentWorkers =
                new SilentWorkers(
                        4,
                        HashTreePMap.singleton(
                                "w", HashTreePMap.singleton(new TaskKey("id", 1, 2, 3), 5L)));
        assertEquals(
                WorkerRecordCodec.decodeSilentWorkers(
                        WorkerRecordCodec.encodeSilentWorkers(silentWorkers)),
                silentWorkers);
        assertEquals(
                RecordCodec.decodeLeader(RecordCodec.encodeLeader("e", "a:1", 3), 9, true),
                new LeaderRecord("e", "a:1", 3, 9, true));
        assertThrows(IOException.class, () -> RecordCodec.decodeFinished(new byte[] {1, 2, 3}));
        assertThrows(IOException.class, () -> RecordCodec.decodeFinished(new byte[] {9}));
    }

    @Test
    public void messagesRoundTrip() throws IOException {
        List<LinkMessage> messages =
                List.of(
                        new LinkMessage.Hello("e", 750),
                        new LinkMessage.Heartbeat(5, 2),
                        new LinkMessage.LeaderResigned(),
                        new LinkMessage.LeaderReplaced(new LeaderRecord("e", "a:1", 3, 9, true)),
                        new LinkMessage.Forward(1, new Call.Submit("q", "t", "id", DEFINITION)),
                        new LinkMessage.Forward(2, new Call.Query("q", "id")),
                        new LinkMessage.Forward(3, new Call.Cancel("q", "id")),
                        new LinkMessage.Forward(4, new Call.Count("q")),
                        new LinkMessage.ForwardReply(1, new Reply.Done()),
                        new LinkMessage.ForwardReply(2, new Reply.JobStatus(Job.Status.DONE, true)),
                        new LinkMessage.ForwardReply(3, new Reply.NoSuchJob()),
                        new LinkMessage.ForwardReply(4, new Reply.WaitingJobs(6)),
                        new LinkMessage.ForwardReply(5, new Reply.Rejected(1_000, true)),
                        new LinkMessage.ForwardReply(6, new Reply.NotLeading()),
                        new LinkMessage.ForwardReply(7, new Reply.OutcomeUnknown()),
                        new LinkMessage.AdviceRequest(
                                7, new StepKey("id", 1, 2), List.of("w"), 100, 8),
                        new LinkMessage.AdviceReply(
                                7, new StepKey("id", 1, 2), Optional.empty(), 8),
                        new LinkMessage.AdviceReply(
                                7, new StepKey("id", 1, 2), Optional.of(Map.of("w", "ticket")), 9));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (LinkMessage message : messages) {
            message.writeTo(new DataOutputStream(bytes));
        }
        DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()));
        for (LinkMessage message : messages) {
            assertEquals(LinkMessage.readFrom(input), message);
        }
    }

    /** Guards against a new release that cannot read the set of workers of an earlier one. */
    @Test
    public void setOfWorkersWithoutIncarnationsIsReadable() throws IOException {
        List<WorkerNode.Listing> fleet = List.of(worker(0));
        byte[] encoded = WorkerRecordCodec.encodeFleet(fleet);
        // The incarnations follow the workers; the one here takes one byte.
        byte[] ofEarlierRelease = Arrays.copyOf(encoded, encoded.length - 1);
        assertEquals(WorkerRecordCodec.decodeFleet(ofEarlierRelease), fleet);
    }
}
