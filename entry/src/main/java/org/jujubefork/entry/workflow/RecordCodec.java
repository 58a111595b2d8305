package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.FailedRuns;
import org.jujubefork.core.workflow.FinishedJob;
import org.jujubefork.core.workflow.Job;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.StepDefinition;
import org.jujubefork.core.workflow.StepKey;
import org.jujubefork.core.workflow.StepProgress;
import org.jujubefork.core.workflow.Task;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack encoding of the records that the daemon keeps in the store, and of the jobs in
 * messages between entries. Fields are identified by their position alone, so their order must not
 * change.
 */
public final class RecordCodec {
    /** Version of the encoding, the first value of each record. Other versions are rejected. */
    private static final int VERSION = 2;

    /** Encodes the fields of a record. */
    @FunctionalInterface
    public interface Writer {
        /** Writes the fields to {@code packer}. */
        void write(MessagePacker packer) throws IOException;
    }

    /**
     * Decodes the fields of a record.
     *
     * @param <T> the type of the record
     */
    @FunctionalInterface
    public interface Reader<T> {
        /**
         * Reads the fields from {@code unpacker}.
         *
         * @throws IOException if the input ends early or has values of other types
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private RecordCodec() {}

    /** Encodes a record: the encoding version, then the fields that {@code writer} writes. */
    public static byte[] encode(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error on an in-memory buffer", e);
        }
    }

    /**
     * Returns the value that {@code reader} decodes from the record {@code bytes}.
     *
     * @throws IOException if the record is malformed or has another encoding version
     */
    public static <T> T decode(byte[] bytes, Reader<T> reader) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int version = unpacker.unpackInt();
            if (version != VERSION) {
                throw new IOException("unsupported record version " + version);
            }
            return reader.read(unpacker);
        } catch (RuntimeException e) {
            throw new IOException("malformed record: " + e.getMessage(), e);
        }
    }

    /** Encodes the leader's record, without the revision, which the store assigns. */
    public static byte[] encodeLeader(String entry, String address, long term) {
        return encode(
                p -> {
                    p.packString(entry);
                    p.packString(address);
                    p.packLong(term);
                });
    }

    /**
     * Decodes the leader's record.
     *
     * @param revision the revision of the record in the store
     * @param leaseValid whether the leader's lease is valid
     */
    public static LeaderRecord decodeLeader(byte[] bytes, long revision, boolean leaseValid)
            throws IOException {
        return decode(
                bytes,
                u ->
                        new LeaderRecord(
                                u.unpackString(),
                                u.unpackString(),
                                u.unpackLong(),
                                revision,
                                leaseValid));
    }

    /** Encodes the fields of {@code job} that do not change after it is accepted. */
    public static byte[] encodeJob(Job job) {
        return encode(
                p -> {
                    p.packString(job.id());
                    p.packString(job.queue());
                    p.packString(job.team());
                    p.packLong(job.term());
                    p.packLong(job.acceptance().wallMillis());
                    p.packBoolean(job.acceptance().withinShare());
                    packDefinition(p, job.definition());
                });
    }

    /**
     * Decodes an accepted job, without its progress. Its acceptance time on the monotonic clock is
     * 0: that time is not stored, because it has no meaning to other entries.
     */
    public static Job decodeJob(byte[] bytes) throws IOException {
        return decode(
                bytes,
                u -> {
                    String id = u.unpackString();
                    String queue = u.unpackString();
                    String team = u.unpackString();
                    Job.Acceptance acceptance =
                            new Job.Acceptance(
                                    u.unpackLong(), 0, u.unpackLong(), u.unpackBoolean());
                    return Job.submitted(id, queue, team, unpackDefinition(u), acceptance)
                            .asStored();
                });
    }

    /**
     * Encodes the progress of {@code job}: for each step, the failed runs of its gang; for each
     * task, whether it is done, its failed runs and its checkpoint. Tasks without any of these are
     * omitted.
     */
    public static byte[] encodeProgress(Job job) {
        return encode(
                p -> {
                    p.packArrayHeader(job.occurrences().size());
                    for (int occurrence : job.occurrences().keySet()) {
                        p.packInt(occurrence);
                        List<StepProgress> stepProgresses = job.occurrences().get(occurrence);
                        p.packArrayHeader(stepProgresses.size());
                        for (StepProgress step : stepProgresses) {
                            packStepProgress(p, step);
                        }
                    }
                });
    }

    private static void packStepProgress(MessagePacker packer, StepProgress step)
            throws IOException {
        packFailures(packer, step.gangFailedRuns());
        List<Integer> changedIndices = new ArrayList<>();
        for (int i = 0; i < step.tasks().size(); i++) {
            Task task = step.tasks().get(i);
            boolean done = task.phase() == Task.Phase.DONE;
            if (done || !task.failedRuns().isEmpty() || !task.checkpoint().isEmpty()) {
                changedIndices.add(i);
            }
        }
        packer.packArrayHeader(changedIndices.size());
        for (int i : changedIndices) {
            Task task = step.tasks().get(i);
            packer.packInt(i);
            packer.packBoolean(task.phase() == Task.Phase.DONE);
            packFailures(packer, task.failedRuns());
            packer.packString(task.checkpoint());
        }
    }

    private static void packFailures(MessagePacker packer, FailedRuns failures) throws IOException {
        packer.packArrayHeader(failures.count());
        for (long run : failures.runNumbers()) {
            packer.packLong(run);
        }
    }

    private static FailedRuns unpackFailures(MessageUnpacker unpacker) throws IOException {
        FailedRuns failures = FailedRuns.NONE;
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            failures = failures.withRun(unpacker.unpackLong());
        }
        return failures;
    }

    /** Returns {@code job} with the progress in {@code bytes}; see {@link #encodeProgress(Job)}. */
    public static Job withProgress(Job job, byte[] bytes) throws IOException {
        return decode(
                bytes,
                u -> {
                    Job result = job;
                    int occurrenceCount = u.unpackArrayHeader();
                    for (int i = 0; i < occurrenceCount; i++) {
                        int occurrence = u.unpackInt();
                        result = result.withOccurrence(occurrence);
                        int stepCount = u.unpackArrayHeader();
                        for (int step = 0; step < stepCount; step++) {
                            result =
                                    unpackStepProgress(
                                            u, result, new StepKey(job.id(), occurrence, step));
                        }
                    }
                    return result;
                });
    }

    private static Job unpackStepProgress(MessageUnpacker unpacker, Job job, StepKey key)
            throws IOException {
        Job result = job;
        FailedRuns gangFailures = unpackFailures(unpacker);
        result = result.with(key, result.progress(key).withGangFailedRuns(gangFailures));
        int changedCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < changedCount; i++) {
            TaskKey taskKey = key.task(unpacker.unpackInt());
            boolean done = unpacker.unpackBoolean();
            Task waitingTask =
                    Task.NEW.asWaiting(unpackFailures(unpacker), unpacker.unpackString());
            result = result.with(taskKey, done ? waitingTask.asDone() : waitingTask);
        }
        return result;
    }

    /** Encodes the final states of jobs that have ended. */
    public static byte[] encodeFinished(List<FinishedJob> jobs) {
        return encode(
                p -> {
                    p.packArrayHeader(jobs.size());
                    for (FinishedJob job : jobs) {
                        p.packString(job.id());
                        p.packString(job.queue());
                        p.packString(job.status().name());
                        p.packLong(job.endedAtWallMillis());
                    }
                });
    }

    /** Decodes the final states of jobs that have ended. */
    public static List<FinishedJob> decodeFinished(byte[] bytes) throws IOException {
        return decode(
                bytes,
                u -> {
                    List<FinishedJob> jobs = new ArrayList<>();
                    int count = u.unpackArrayHeader();
                    for (int i = 0; i < count; i++) {
                        jobs.add(
                                new FinishedJob(
                                        u.unpackString(),
                                        u.unpackString(),
                                        Job.Status.valueOf(u.unpackString()),
                                        u.unpackLong()));
                    }
                    return jobs;
                });
    }

    static void packResources(MessagePacker packer, Resources resources) throws IOException {
        packer.packLong(resources.cpuMillis());
        packer.packLong(resources.memoryMb());
        packer.packLong(resources.accelerators());
    }

    static Resources unpackResources(MessageUnpacker unpacker) throws IOException {
        return Resources.of(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
    }

    /** Writes {@code definition} to {@code packer}, as the last value of the record or message. */
    public static void packDefinition(MessagePacker packer, WorkflowDefinition definition)
            throws IOException {
        packer.packString(definition.payload());
        packer.packInt(definition.scheduledCount());
        packer.packLong(definition.firstDueMillis());
        packer.packLong(definition.intervalMillis());
        packer.packArrayHeader(definition.steps().size());
        for (StepDefinition step : definition.steps()) {
            packStepDefinition(packer, step);
        }
        packMayMiss(packer, definition);
    }

    private static void packStepDefinition(MessagePacker packer, StepDefinition step)
            throws IOException {
        packer.packInt(step.taskCount());
        packResources(packer, step.size());
        packer.packLong(step.estimateMillis());
        packer.packArrayHeader(step.dependencies().size());
        for (int dependency : step.dependencies()) {
            packer.packInt(dependency);
        }
        packer.packBoolean(step.gang());
        packer.packBoolean(step.sameRack());
        packer.packString(step.requiredLabel());
        packer.packString(step.dataRack());
        packer.packInt(step.maxPerWorker());
        packer.packBoolean(step.speculative());
        packer.packBoolean(step.writesCheckpoints());
        packer.packBoolean(step.service());
        packer.packBoolean(step.usesIdleCpu());
    }

    /**
     * Writes how many tasks each step may miss, if any step states it. Decoders of earlier versions
     * ignore what follows the steps.
     */
    private static void packMayMiss(MessagePacker packer, WorkflowDefinition definition)
            throws IOException {
        if (definition.steps().stream().allMatch(s -> s.mayMiss() == 0)) {
            return;
        }
        packer.packArrayHeader(definition.steps().size());
        for (StepDefinition step : definition.steps()) {
            packer.packInt(step.mayMiss());
        }
    }

    private static List<StepDefinition> unpackMayMiss(
            MessageUnpacker unpacker, List<StepDefinition> steps) throws IOException {
        if (!unpacker.hasNext()) {
            return steps;
        }
        unpacker.unpackArrayHeader();
        List<StepDefinition> result = new ArrayList<>();
        for (StepDefinition step : steps) {
            result.add(step.withMayMiss(unpacker.unpackInt()));
        }
        return result;
    }

    /** Reads a definition that {@link #packDefinition} has written. */
    public static WorkflowDefinition unpackDefinition(MessageUnpacker unpacker) throws IOException {
        String payload = unpacker.unpackString();
        int scheduledCount = unpacker.unpackInt();
        long firstDueMillis = unpacker.unpackLong();
        long intervalMillis = unpacker.unpackLong();
        List<StepDefinition> steps = new ArrayList<>();
        int stepCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < stepCount; i++) {
            steps.add(unpackStepDefinition(unpacker));
        }
        return new WorkflowDefinition(
                payload,
                unpackMayMiss(unpacker, steps),
                scheduledCount,
                firstDueMillis,
                intervalMillis);
    }

    private static StepDefinition unpackStepDefinition(MessageUnpacker unpacker)
            throws IOException {
        int taskCount = unpacker.unpackInt();
        Resources size = unpackResources(unpacker);
        long estimateMillis = unpacker.unpackLong();
        List<Integer> dependencies = new ArrayList<>();
        int dependencyCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < dependencyCount; i++) {
            dependencies.add(unpacker.unpackInt());
        }
        return new StepDefinition(
                taskCount,
                size,
                estimateMillis,
                dependencies,
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean());
    }
}
