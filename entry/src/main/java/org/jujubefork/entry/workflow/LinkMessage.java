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
 * A message between an entry and the leader. A frame is the length in four bytes and the message in
 * MessagePack, which begins with the number of its type.
 */
sealed interface LinkMessage {
    /** Longest frame in bytes. */
    int MAX_BYTES = 1 << 20;

    /**
     * The first message of a connection, from the entry that opened it.
     *
     * @param entry its name
     */
    record Hello(String entry) implements LinkMessage {}

    /**
     * A heartbeat of the leader.
     *
     * @param storeAgeMillis time since its last contact with the store
     */
    record Beat(long storeAgeMillis) implements LinkMessage {}

    /** The leader stops. */
    record Resigned() implements LinkMessage {}

    /**
     * Tells a leader that another entry has replaced it. Sent by its followers, because it may have
     * lost the store, which would tell it otherwise.
     *
     * @param leader the new leader
     */
    record Replaced(LeaderRecord leader) implements LinkMessage {}

    /**
     * A call of a caller, for the leader.
     *
     * @param id pairs the reply with it
     * @param call the call
     */
    record Forward(long id, Call call) implements LinkMessage {}

    /**
     * The leader's answer to a call.
     *
     * @param id the call
     * @param reply the answer
     */
    record Replied(long id, Reply reply) implements LinkMessage {}

    /**
     * The leader asks an entry to ask the advice service.
     *
     * @param fence names the leader's term in the answer
     * @param step the step
     * @param workers the candidates
     * @param timeoutMillis limit for the call
     */
    record Ask(long fence, StepKey step, List<String> workers, long timeoutMillis)
            implements LinkMessage {}

    /**
     * What the advice service has answered.
     *
     * @param fence the term of the question
     * @param step the step
     * @param tickets the tickets by worker, nothing if there was no answer
     */
    record Advice(long fence, StepKey step, Optional<Map<String, String>> tickets)
            implements LinkMessage {}

    /** Writes this message as a frame. */
    default void writeTo(DataOutputStream output) throws IOException {
        byte[] bytes = RecordCodec.encode(p -> pack(p, this));
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    /** Reads a frame. */
    static LinkMessage readFrom(DataInputStream input) throws IOException {
        int length = input.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new IOException("a frame of " + length + " bytes");
        }
        return RecordCodec.decode(input.readNBytes(length), LinkMessage::unpack);
    }

    private static void pack(MessagePacker p, LinkMessage message) throws IOException {
        switch (message) {
            case Hello m -> p.packInt(1).packString(m.entry());
            case Beat m -> p.packInt(2).packLong(m.storeAgeMillis());
            case Resigned m -> p.packInt(3);
            case Forward m -> {
                p.packInt(4).packLong(m.id());
                packCall(p, m.call());
            }
            case Replied m -> {
                p.packInt(5).packLong(m.id());
                packReply(p, m.reply());
            }
            case Ask m -> {
                packStep(p.packInt(6).packLong(m.fence()), m.step());
                p.packLong(m.timeoutMillis()).packArrayHeader(m.workers().size());
                for (String worker : m.workers()) {
                    p.packString(worker);
                }
            }
            case Replaced m -> {
                p.packInt(8).packString(m.leader().entry()).packString(m.leader().address());
                p.packLong(m.leader().term()).packLong(m.leader().revision());
            }
            case Advice m -> {
                packStep(p.packInt(7).packLong(m.fence()), m.step());
                packTickets(p, m.tickets());
            }
        }
    }

    private static LinkMessage unpack(MessageUnpacker u) throws IOException {
        int type = u.unpackInt();
        return switch (type) {
            case 1 -> new Hello(u.unpackString());
            case 2 -> new Beat(u.unpackLong());
            case 3 -> new Resigned();
            case 4 -> new Forward(u.unpackLong(), unpackCall(u));
            case 5 -> new Replied(u.unpackLong(), unpackReply(u));
            case 6 -> unpackAsk(u);
            case 7 -> new Advice(u.unpackLong(), unpackStep(u), unpackTickets(u));
            case 8 ->
                    new Replaced(
                            new LeaderRecord(
                                    u.unpackString(),
                                    u.unpackString(),
                                    u.unpackLong(),
                                    u.unpackLong(),
                                    true));
            default -> throw new IOException("a message of type " + type);
        };
    }

    private static void packStep(MessagePacker p, StepKey step) throws IOException {
        p.packString(step.job()).packInt(step.occurrence()).packInt(step.step());
    }

    private static StepKey unpackStep(MessageUnpacker u) throws IOException {
        return new StepKey(u.unpackString(), u.unpackInt(), u.unpackInt());
    }

    private static Ask unpackAsk(MessageUnpacker u) throws IOException {
        long fence = u.unpackLong();
        StepKey step = unpackStep(u);
        long timeout = u.unpackLong();
        List<String> workers = new ArrayList<>();
        int count = u.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            workers.add(u.unpackString());
        }
        return new Ask(fence, step, workers, timeout);
    }

    private static void packTickets(MessagePacker p, Optional<Map<String, String>> tickets)
            throws IOException {
        p.packBoolean(tickets.isPresent());
        if (tickets.isPresent()) {
            p.packMapHeader(tickets.get().size());
            for (Map.Entry<String, String> ticket : tickets.get().entrySet()) {
                p.packString(ticket.getKey()).packString(ticket.getValue());
            }
        }
    }

    private static Optional<Map<String, String>> unpackTickets(MessageUnpacker u)
            throws IOException {
        if (!u.unpackBoolean()) {
            return Optional.empty();
        }
        Map<String, String> tickets = new HashMap<>();
        int count = u.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            tickets.put(u.unpackString(), u.unpackString());
        }
        return Optional.of(tickets);
    }

    private static void packCall(MessagePacker p, Call call) throws IOException {
        switch (call) {
            case Call.Submit c -> {
                p.packInt(1).packString(c.queue()).packString(c.team()).packString(c.job());
                RecordCodec.packDefinition(p, c.definition());
            }
            case Call.Query c -> p.packInt(2).packString(c.queue()).packString(c.job());
            case Call.Cancel c -> p.packInt(3).packString(c.queue()).packString(c.job());
            case Call.Count c -> p.packInt(4).packString(c.queue());
        }
    }

    private static Call unpackCall(MessageUnpacker u) throws IOException {
        int type = u.unpackInt();
        String queue = u.unpackString();
        return switch (type) {
            case 1 ->
                    new Call.Submit(
                            queue,
                            u.unpackString(),
                            u.unpackString(),
                            RecordCodec.unpackDefinition(u));
            case 2 -> new Call.Query(queue, u.unpackString());
            case 3 -> new Call.Cancel(queue, u.unpackString());
            case 4 -> new Call.Count(queue);
            default -> throw new IOException("a call of type " + type);
        };
    }

    private static void packReply(MessagePacker p, Reply reply) throws IOException {
        switch (reply) {
            case Reply.Done r -> p.packInt(1);
            case Reply.JobStatus r ->
                    p.packInt(2).packString(r.status().name()).packBoolean(r.started());
            case Reply.NoSuchJob r -> p.packInt(3);
            case Reply.WaitingJobs r -> p.packInt(4).packInt(r.count());
            case Reply.Rejected r ->
                    p.packInt(5).packLong(r.retryAfterMillis()).packBoolean(r.overloaded());
            case Reply.NotLeading r -> p.packInt(6);
        }
    }

    private static Reply unpackReply(MessageUnpacker u) throws IOException {
        int type = u.unpackInt();
        return switch (type) {
            case 1 -> new Reply.Done();
            case 2 -> new Reply.JobStatus(Job.Status.valueOf(u.unpackString()), u.unpackBoolean());
            case 3 -> new Reply.NoSuchJob();
            case 4 -> new Reply.WaitingJobs(u.unpackInt());
            case 5 -> new Reply.Rejected(u.unpackLong(), u.unpackBoolean());
            case 6 -> new Reply.NotLeading();
            default -> throw new IOException("a reply of type " + type);
        };
    }
}
