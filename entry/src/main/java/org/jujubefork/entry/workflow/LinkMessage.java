package org.jujubefork.entry.workflow;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.Job;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.StepKey;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A message between a follower and the leader. A frame consists of four bytes for the length of the
 * message, and the message in MessagePack. The message starts with the version of the encoding and
 * the number of the message type. A reader ignores fields that it does not know at the end of a
 * message, so that entries of different versions can work together during an upgrade.
 */
sealed interface LinkMessage {
    /** The length limit of a frame, without the four bytes that hold the length. */
    int MAX_FRAME_BYTES = 1 << 20;

    /**
     * Identifies a follower to the leader. Sent first on a new connection and then as the
     * follower's heartbeat.
     *
     * @param entry the name of the follower
     * @param processorMillicores the processor capacity of the follower in thousandths of a core
     */
    record Hello(String entry, int processorMillicores) implements LinkMessage {}

    /**
     * A heartbeat of the leader.
     *
     * @param storeAgeMillis time since the leader's last contact with the store
     * @param successionPosition the position of the follower among those that replace the leader,
     *     -1 if it is not decided yet
     */
    record Heartbeat(long storeAgeMillis, int successionPosition) implements LinkMessage {}

    /** The leader gives up leadership because its process is stopping. */
    record LeaderResigned() implements LinkMessage {}

    /**
     * Informs a leader that another entry has replaced it. Its followers send this message because
     * a leader that has lost the store cannot read there that it was replaced.
     *
     * @param leader the new leader
     */
    record LeaderReplaced(LeaderRecord leader) implements LinkMessage {}

    /**
     * Forwards a call to the leader.
     *
     * @param id correlates the reply with the call; unique among the sender's calls
     * @param call the call
     */
    record Forward(long id, Call call) implements LinkMessage {}

    /**
     * The leader's answer to a forwarded call.
     *
     * @param id the identifier from {@link Forward}
     * @param reply the answer
     */
    record ForwardReply(long id, Reply reply) implements LinkMessage {}

    /**
     * Asks a follower to call the advice service for the leader.
     *
     * @param fence the leader's fencing token, returned in the answer
     * @param step the step that is to be placed
     * @param workers identifiers of the candidate workers
     * @param timeoutMillis time limit of the call
     * @param number the number of the request, returned in the answer
     */
    record AdviceRequest(
            long fence, StepKey step, List<String> workers, long timeoutMillis, long number)
            implements LinkMessage {}

    /**
     * A follower's reply with the answer of the advice service.
     *
     * @param fence the fencing token from {@link AdviceRequest}
     * @param step the step from {@link AdviceRequest}
     * @param tickets the tickets by worker, empty if the service gave no usable answer
     * @param number the number from {@link AdviceRequest}
     */
    record AdviceReply(long fence, StepKey step, Optional<Map<String, String>> tickets, long number)
            implements LinkMessage {}

    /** Writes this message to {@code output} as one frame. */
    default void writeTo(DataOutputStream output) throws IOException {
        byte[] bytes = RecordCodec.encode(p -> pack(p, this));
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    /**
     * Reads one frame.
     *
     * @throws IOException if the connection ends or the frame cannot be decoded
     */
    static LinkMessage readFrom(DataInputStream input) throws IOException {
        int length = input.readInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("invalid frame length: " + length + " bytes");
        }
        return RecordCodec.decode(input.readNBytes(length), LinkMessage::unpack);
    }

    private static void pack(MessagePacker packer, LinkMessage message) throws IOException {
        switch (message) {
            case Hello m ->
                    packer.packInt(1).packString(m.entry()).packInt(m.processorMillicores());
            case Heartbeat m ->
                    packer.packInt(2).packLong(m.storeAgeMillis()).packInt(m.successionPosition());
            case LeaderResigned m -> packer.packInt(3);
            case Forward m -> {
                packer.packInt(4).packLong(m.id());
                packCall(packer, m.call());
            }
            case ForwardReply m -> {
                packer.packInt(5).packLong(m.id());
                packReply(packer, m.reply());
            }
            case AdviceRequest m -> {
                packStep(packer.packInt(6).packLong(m.fence()), m.step());
                packer.packLong(m.timeoutMillis()).packArrayHeader(m.workers().size());
                for (String worker : m.workers()) {
                    packer.packString(worker);
                }
                packer.packLong(m.number());
            }
            case LeaderReplaced m -> {
                packer.packInt(8).packString(m.leader().entry()).packString(m.leader().address());
                packer.packLong(m.leader().term()).packLong(m.leader().revision());
            }
            case AdviceReply m -> {
                packStep(packer.packInt(7).packLong(m.fence()), m.step());
                packTickets(packer, m.tickets());
                packer.packLong(m.number());
            }
        }
    }

    private static LinkMessage unpack(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case 1 -> new Hello(unpacker.unpackString(), unpackTrailingInt(unpacker, 0));
            case 2 -> new Heartbeat(unpacker.unpackLong(), unpackTrailingInt(unpacker, -1));
            case 3 -> new LeaderResigned();
            case 4 -> new Forward(unpacker.unpackLong(), unpackCall(unpacker));
            case 5 -> new ForwardReply(unpacker.unpackLong(), unpackReply(unpacker));
            case 6 -> unpackAdviceRequest(unpacker);
            case 7 ->
                    new AdviceReply(
                            unpacker.unpackLong(),
                            unpackStep(unpacker),
                            unpackTickets(unpacker),
                            unpackTrailingLong(unpacker, 0));
            case 8 ->
                    new LeaderReplaced(
                            new LeaderRecord(
                                    unpacker.unpackString(),
                                    unpacker.unpackString(),
                                    unpacker.unpackLong(),
                                    unpacker.unpackLong(),
                                    // The new leader's lease is assumed to be valid.
                                    true));
            default -> throw new IOException("unknown message type " + type);
        };
    }

    private static int unpackTrailingInt(MessageUnpacker unpacker, int defaultValue)
            throws IOException {
        return unpacker.hasNext() ? unpacker.unpackInt() : defaultValue;
    }

    private static long unpackTrailingLong(MessageUnpacker unpacker, long defaultValue)
            throws IOException {
        return unpacker.hasNext() ? unpacker.unpackLong() : defaultValue;
    }

    private static void packStep(MessagePacker packer, StepKey step) throws IOException {
        packer.packString(step.job()).packInt(step.occurrence()).packInt(step.step());
    }

    private static StepKey unpackStep(MessageUnpacker unpacker) throws IOException {
        return new StepKey(unpacker.unpackString(), unpacker.unpackInt(), unpacker.unpackInt());
    }

    private static AdviceRequest unpackAdviceRequest(MessageUnpacker unpacker) throws IOException {
        long fence = unpacker.unpackLong();
        StepKey step = unpackStep(unpacker);
        long timeoutMillis = unpacker.unpackLong();
        List<String> workers = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            workers.add(unpacker.unpackString());
        }
        return new AdviceRequest(
                fence, step, workers, timeoutMillis, unpackTrailingLong(unpacker, 0));
    }

    private static void packTickets(MessagePacker packer, Optional<Map<String, String>> tickets)
            throws IOException {
        packer.packBoolean(tickets.isPresent());
        if (tickets.isPresent()) {
            packer.packMapHeader(tickets.get().size());
            for (Map.Entry<String, String> ticket : tickets.get().entrySet()) {
                packer.packString(ticket.getKey()).packString(ticket.getValue());
            }
        }
    }

    private static Optional<Map<String, String>> unpackTickets(MessageUnpacker unpacker)
            throws IOException {
        if (!unpacker.unpackBoolean()) {
            return Optional.empty();
        }
        Map<String, String> tickets = new HashMap<>();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            tickets.put(unpacker.unpackString(), unpacker.unpackString());
        }
        return Optional.of(tickets);
    }

    private static void packCall(MessagePacker packer, Call call) throws IOException {
        switch (call) {
            case Call.Submit c -> {
                packer.packInt(1).packString(c.queue()).packString(c.team()).packString(c.job());
                RecordCodec.packDefinition(packer, c.definition());
            }
            case Call.Query c -> packer.packInt(2).packString(c.queue()).packString(c.job());
            case Call.Cancel c -> packer.packInt(3).packString(c.queue()).packString(c.job());
            case Call.Count c -> packer.packInt(4).packString(c.queue());
        }
    }

    private static Call unpackCall(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        String queue = unpacker.unpackString();
        return switch (type) {
            case 1 ->
                    new Call.Submit(
                            queue,
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            RecordCodec.unpackDefinition(unpacker));
            case 2 -> new Call.Query(queue, unpacker.unpackString());
            case 3 -> new Call.Cancel(queue, unpacker.unpackString());
            case 4 -> new Call.Count(queue);
            default -> throw new IOException("unknown call type " + type);
        };
    }

    private static void packReply(MessagePacker packer, Reply reply) throws IOException {
        switch (reply) {
            case Reply.Done r -> packer.packInt(1);
            case Reply.JobStatus r ->
                    packer.packInt(2).packString(r.status().name()).packBoolean(r.started());
            case Reply.NoSuchJob r -> packer.packInt(3);
            case Reply.WaitingJobs r -> packer.packInt(4).packInt(r.count());
            case Reply.Rejected r ->
                    packer.packInt(5).packLong(r.retryAfterMillis()).packBoolean(r.overloaded());
            case Reply.NotLeading r -> packer.packInt(6);
            case Reply.OutcomeUnknown r -> packer.packInt(7);
        }
    }

    private static Reply unpackReply(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case 1 -> new Reply.Done();
            case 2 ->
                    new Reply.JobStatus(
                            Job.Status.valueOf(unpacker.unpackString()), unpacker.unpackBoolean());
            case 3 -> new Reply.NoSuchJob();
            case 4 -> new Reply.WaitingJobs(unpacker.unpackInt());
            case 5 -> new Reply.Rejected(unpacker.unpackLong(), unpacker.unpackBoolean());
            case 6 -> new Reply.NotLeading();
            case 7 -> new Reply.OutcomeUnknown();
            default -> throw new IOException("unknown reply type " + type);
        };
    }
}
