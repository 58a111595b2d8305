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
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the daemon's records in the store, and the jobs in messages between entries, in
 * MessagePack. The fields of a record stand in the order of its components.
 */
public final class RecordCodec {
    /** First value of each record; readers refuse others. */
    private static final int VERSION = 2;

    /** Writes the fields of a record. */
    @FunctionalInterface
    public interface Writer {
        /** Writes to {@code packer}. */
        void write(MessagePacker packer) throws IOException;
    }

    /**
     * Reads the fields of a record.
     *
     * @param <T> the record
     */
    @FunctionalInterface
    public interface Reader<T> {
        /** Reads from {@code unpacker}. */
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private RecordCodec() {}

    /** Returns the encoding of what {@code writer} writes. */
    public static byte[] encode(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /**
     * Returns what {@code reader} reads from {@code bytes}.
     *
     * @throws IOException if the bytes are no such record
     */
    public static <T> T decode(byte[] bytes, Reader<T> reader) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int version = unpacker.unpackInt();
            if (version != VERSION) {
                throw new IOException("record of version " + version);
            }
            return reader.read(unpacker);
        } catch (RuntimeException e) {
            throw new IOException("malformed record: " + e.getMessage(), e);
        }
    }

    /** Encodes the record of the leader; its revision is the store's. */
    public static byte[] leader(String entry, String address, long term) {
        return encode(
                p -> {
                    p.packString(entry);
                    p.packString(address);
                    p.packLong(term);
                });
    }

    /** Decodes the record of the leader, which the store has at {@code revision}. */
    public static LeaderRecord leader(byte[] bytes, long revision, boolean lease)
            throws IOException {
        return decode(
                bytes,
                u ->
                        new LeaderRecord(
                                u.unpackString(),
                                u.unpackString(),
                                u.unpackLong(),
                                revision,
                                lease));
    }

    /** Encodes what is fixed when a job is accepted. */
    public static byte[] job(Job job) {
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

    /** Decodes an accepted job without progress; the reader knows its age on its own clock. */
    public static Job job(byte[] bytes) throws IOException {
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

    /** Encodes which tasks of a job have ended and how often they failed. */
    public static byte[] progress(Job job) {
        return encode(
                p -> {
                    p.packArrayHeader(job.occurrences().size());
                    for (int occurrence : job.occurrences().keySet()) {
                        p.packInt(occurrence);
                        List<StepProgress> steps = job.occurrences().get(occurrence);
                        p.packArrayHeader(steps.size());
                        for (StepProgress step : steps) {
                            packStep(p, step);
                        }
                    }
                });
    }

    private static void packStep(MessagePacker packer, StepProgress step) throws IOException {
        packFailures(packer, step.gangFailedRuns());
        List<Integer> changed = new ArrayList<>();
        for (int i = 0; i < step.tasks().size(); i++) {
            Task task = step.tasks().get(i);
            boolean done = task.phase() == Task.Phase.DONE;
            if (done || !task.failedRuns().isEmpty() || !task.checkpoint().isEmpty()) {
                changed.add(i);
            }
        }
        packer.packArrayHeader(changed.size());
        for (int i : changed) {
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

    /** Returns {@code job} with the progress that {@link #progress(Job)} has encoded. */
    public static Job withProgress(Job job, byte[] bytes) throws IOException {
        return decode(
                bytes,
                u -> {
                    Job result = job;
                    int occurrences = u.unpackArrayHeader();
                    for (int i = 0; i < occurrences; i++) {
                        int occurrence = u.unpackInt();
                        result = result.withOccurrence(occurrence);
                        int steps = u.unpackArrayHeader();
                        for (int step = 0; step < steps; step++) {
                            result = unpackStep(u, result, new StepKey(job.id(), occurrence, step));
                        }
                    }
                    return result;
                });
    }

    private static Job unpackStep(MessageUnpacker unpacker, Job job, StepKey key)
            throws IOException {
        Job result = job;
        FailedRuns ofGang = unpackFailures(unpacker);
        result = result.with(key, result.progress(key).withGangFailedRuns(ofGang));
        int changed = unpacker.unpackArrayHeader();
        for (int i = 0; i < changed; i++) {
            TaskKey task = key.task(unpacker.unpackInt());
            boolean done = unpacker.unpackBoolean();
            Task waiting = Task.NEW.asWaiting(unpackFailures(unpacker), unpacker.unpackString());
            result = result.with(task, done ? waiting.asDone() : waiting);
        }
        return result;
    }

    /** Encodes jobs that have ended. */
    public static byte[] finished(List<FinishedJob> jobs) {
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

    /** Decodes jobs that have ended. */
    public static List<FinishedJob> finished(byte[] bytes) throws IOException {
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

    /** Encodes the workers that may run something. */
    public static byte[] fleet(List<WorkerNode.Listing> workers) {
        return encode(
                p -> {
                    p.packArrayHeader(workers.size());
                    for (WorkerNode.Listing worker : workers) {
                        packListing(p, worker);
                    }
                });
    }

    private static void packListing(MessagePacker packer, WorkerNode.Listing worker)
            throws IOException {
        packer.packString(worker.id());
        packer.packString(worker.service());
        packer.packString(worker.address());
        packer.packString(worker.zone());
        packResources(packer, worker.capacity());
        packer.packArrayHeader(worker.labels().size());
        for (String label : worker.labels()) {
            packer.packString(label);
        }
        packer.packString(worker.rack());
    }

    /** Decodes the workers that may run something. */
    public static List<WorkerNode.Listing> fleet(byte[] bytes) throws IOException {
        return decode(
                bytes,
                u -> {
                    List<WorkerNode.Listing> workers = new ArrayList<>();
                    int count = u.unpackArrayHeader();
                    for (int i = 0; i < count; i++) {
                        workers.add(unpackListing(u));
                    }
                    return workers;
                });
    }

    private static WorkerNode.Listing unpackListing(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        String service = unpacker.unpackString();
        String address = unpacker.unpackString();
        String zone = unpacker.unpackString();
        Resources room = unpackResources(unpacker);
        List<String> labels = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            labels.add(unpacker.unpackString());
        }
        return new WorkerNode.Listing(
                id, service, address, zone, false, room, labels, unpacker.unpackString());
    }

    private static void packResources(MessagePacker packer, Resources size) throws IOException {
        packer.packLong(size.cpuMillis());
        packer.packLong(size.memoryMb());
        packer.packLong(size.accelerators());
    }

    private static Resources unpackResources(MessageUnpacker unpacker) throws IOException {
        return Resources.of(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
    }

    /** Writes {@code definition}. */
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
    }

    private static void packStepDefinition(MessagePacker packer, StepDefinition step)
            throws IOException {
        packer.packInt(step.taskCount());
        packResources(packer, step.size());
        packer.packLong(step.estimateMillis());
        packer.packArrayHeader(step.dependencies().size());
        for (int before : step.dependencies()) {
            packer.packInt(before);
        }
        packer.packBoolean(step.gang());
        packer.packBoolean(step.sameRack());
        packer.packString(step.requiredLabel());
        packer.packString(step.dataRack());
        packer.packInt(step.maxPerWorker());
        packer.packBoolean(step.speculative());
        packer.packBoolean(step.checkpoints());
        packer.packBoolean(step.service());
        packer.packBoolean(step.usesIdleCpu());
    }

    /** Reads what {@link #packDefinition} has written. */
    public static WorkflowDefinition unpackDefinition(MessageUnpacker unpacker) throws IOException {
        String payload = unpacker.unpackString();
        int times = unpacker.unpackInt();
        long first = unpacker.unpackLong();
        long interval = unpacker.unpackLong();
        List<StepDefinition> steps = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            steps.add(unpackStepDefinition(unpacker));
        }
        return new WorkflowDefinition(payload, steps, times, first, interval);
    }

    private static StepDefinition unpackStepDefinition(MessageUnpacker unpacker)
            throws IOException {
        int count = unpacker.unpackInt();
        Resources size = unpackResources(unpacker);
        long estimate = unpacker.unpackLong();
        List<Integer> after = new ArrayList<>();
        int dependencies = unpacker.unpackArrayHeader();
        for (int i = 0; i < dependencies; i++) {
            after.add(unpacker.unpackInt());
        }
        return new StepDefinition(
                count,
                size,
                estimate,
                after,
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
