package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.SilentWorkers;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.WorkerNode;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** MessagePack encoding of the records about workers that the leader keeps in the store. */
public final class WorkerRecordCodec {
    private WorkerRecordCodec() {}

    /** Encodes the workers on which tasks may be running. */
    public static byte[] encodeFleet(List<WorkerNode.Listing> workers) {
        return RecordCodec.encode(
                p -> {
                    p.packArrayHeader(workers.size());
                    for (WorkerNode.Listing worker : workers) {
                        packWorker(p, worker);
                    }
                    // Entries of earlier releases read only up to here.
                    for (WorkerNode.Listing worker : workers) {
                        p.packLong(worker.born());
                    }
                });
    }

    private static void packWorker(MessagePacker packer, WorkerNode.Listing worker)
            throws IOException {
        packer.packString(worker.id());
        packer.packString(worker.service());
        packer.packString(worker.address());
        packer.packString(worker.zone());
        RecordCodec.packResources(packer, worker.capacity());
        packer.packArrayHeader(worker.labels().size());
        for (String label : worker.labels()) {
            packer.packString(label);
        }
        packer.packString(worker.rack());
    }

    /** Decodes the workers on which tasks may be running. */
    public static List<WorkerNode.Listing> decodeFleet(byte[] bytes) throws IOException {
        return RecordCodec.decode(
                bytes,
                u -> {
                    List<WorkerNode.Listing> workers = new ArrayList<>();
                    int count = u.unpackArrayHeader();
                    for (int i = 0; i < count; i++) {
                        workers.add(unpackWorker(u));
                    }
                    if (u.hasNext()) {
                        for (int i = 0; i < count; i++) {
                            workers.set(i, workers.get(i).withBorn(u.unpackLong()));
                        }
                    }
                    return workers;
                });
    }

    private static WorkerNode.Listing unpackWorker(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        String service = unpacker.unpackString();
        String address = unpacker.unpackString();
        String zone = unpacker.unpackString();
        Resources capacity = RecordCodec.unpackResources(unpacker);
        List<String> labels = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            labels.add(unpacker.unpackString());
        }
        return new WorkerNode.Listing(
                id, service, address, zone, false, capacity, labels, unpacker.unpackString(), 0);
    }

    /** Encodes the silent workers and the runs that may be active on them. */
    public static byte[] encodeSilentWorkers(SilentWorkers silentWorkers) {
        return RecordCodec.encode(
                p -> {
                    p.packLong(silentWorkers.term());
                    p.packArrayHeader(silentWorkers.runs().size());
                    for (Map.Entry<String, PMap<TaskKey, Long>> worker :
                            silentWorkers.runs().entrySet()) {
                        p.packString(worker.getKey());
                        packRuns(p, worker.getValue());
                    }
                });
    }

    private static void packRuns(MessagePacker packer, PMap<TaskKey, Long> runs)
            throws IOException {
        packer.packArrayHeader(runs.size());
        for (Map.Entry<TaskKey, Long> run : runs.entrySet()) {
            TaskKey task = run.getKey();
            packer.packString(task.job());
            packer.packInt(task.occurrence());
            packer.packInt(task.step());
            packer.packInt(task.index());
            packer.packLong(run.getValue());
        }
    }

    /** Decodes the silent workers and the runs that may be active on them. */
    public static SilentWorkers decodeSilentWorkers(byte[] bytes) throws IOException {
        return RecordCodec.decode(
                bytes,
                u -> {
                    long term = u.unpackLong();
                    PMap<String, PMap<TaskKey, Long>> runs = HashTreePMap.empty();
                    int count = u.unpackArrayHeader();
                    for (int i = 0; i < count; i++) {
                        runs = runs.plus(u.unpackString(), unpackRuns(u));
                    }
                    return new SilentWorkers(term, runs);
                });
    }

    private static PMap<TaskKey, Long> unpackRuns(MessageUnpacker unpacker) throws IOException {
        PMap<TaskKey, Long> runs = HashTreePMap.empty();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            TaskKey task =
                    new TaskKey(
                            unpacker.unpackString(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt());
            runs = runs.plus(task, unpacker.unpackLong());
        }
        return runs;
    }
}
