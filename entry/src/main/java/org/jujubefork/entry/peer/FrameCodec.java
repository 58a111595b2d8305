package org.jujubefork.entry.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.requests.ForwardedRequest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames. A frame consists of the protocol version (u8), the message type (u8),
 * the correlation id (u64) and the fields of the message as MessagePack values in a fixed order.
 */
public final class FrameCodec {
    /**
     * Uses initial buffers of 1 KiB. Most frames are gossip of a few hundred bytes, and with the
     * library's default of 8 KiB these buffers made up a quarter of the memory that an idle entry
     * allocates. The packer adds buffers for larger frames.
     */
    private static final MessagePack.PackerConfig PACKER_CONFIG =
            new MessagePack.PackerConfig().withBufferSize(1_024);

    private FrameCodec() {}

    /** Returns the encoded {@code frame}, without the length field that precedes it on the wire. */
    public static byte[] encode(Frame frame) {
        try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
            MessageType type = typeOf(frame.message());
            packer.writePayload(header(type, frame.correlationId()));
            write(packer, frame.message());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("encoding a frame in memory failed", e);
        }
    }

    /**
     * Decodes one frame.
     *
     * @param bytes the whole frame, without the length field
     * @throws ProtocolException if the frame has another protocol version, is malformed or
     *     truncated
     */
    public static Frame decode(byte[] bytes) throws ProtocolException {
        if (bytes.length < HEADER_BYTES) {
            throw new ProtocolException(
                    "a frame of " + bytes.length + " bytes is shorter than the header");
        }
        int version = bytes[0] & 0xff;
        if (version != Frame.PROTOCOL_VERSION) {
            throw new ProtocolException(
                    "protocol version "
                            + version
                            + " of the sender differs from local version "
                            + Frame.PROTOCOL_VERSION);
        }
        MessageType type = MessageType.ofCode(bytes[1] & 0xff);
        long correlationId = ByteBuffer.wrap(bytes, 2, Long.BYTES).getLong();
        try (MessageUnpacker unpacker =
                MessagePack.newDefaultUnpacker(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES)) {
            Frame frame = Frame.of(correlationId, read(type, unpacker));
            if (unpacker.hasNext()) {
                throw new ProtocolException(type + " frame has extra bytes after its message");
            }
            return frame;
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new ProtocolException(type + " frame is malformed: " + e.getMessage(), e);
        } catch (ProtocolException e) {
            throw e;
        } catch (IOException e) {
            throw new ProtocolException(type + " frame is truncated: " + e.getMessage(), e);
        }
    }

    private static final int HEADER_BYTES = 2 + Long.BYTES;

    private static byte[] header(MessageType type, long correlationId) {
        return ByteBuffer.allocate(HEADER_BYTES)
                .put((byte) Frame.PROTOCOL_VERSION)
                .put((byte) type.code())
                .putLong(correlationId)
                .array();
    }

    private static MessageType typeOf(PeerMessage message) {
        return switch (message) {
            case PeerMessage.Hello m -> MessageType.HELLO;
            case PeerMessage.Gossip m -> MessageType.GOSSIP;
            case PeerMessage.Probe m -> MessageType.PROBE;
            case PeerMessage.ProbeReply m -> MessageType.PROBE_REPLY;
            case PeerMessage.Forward m -> MessageType.FORWARD;
            case PeerMessage.BodyChunk m -> MessageType.BODY_CHUNK;
            case PeerMessage.ResponseChunk m -> MessageType.RESPONSE_CHUNK;
            case PeerMessage.ResponseComplete m -> MessageType.RESPONSE_COMPLETE;
            case PeerMessage.ResponseEnd m -> MessageType.RESPONSE_END;
            case PeerMessage.Credit m -> MessageType.CREDIT;
            case PeerMessage.Cancel m -> MessageType.CANCEL;
            case PeerMessage.ConfigurationFetch m -> MessageType.CONFIGURATION_FETCH;
            case PeerMessage.ConfigurationPart m -> MessageType.CONFIGURATION_PART;
            case PeerMessage.ProtocolError m -> MessageType.PROTOCOL_ERROR;
            case PeerMessage.ViewFetch m -> MessageType.VIEW_FETCH;
            case PeerMessage.ViewPart m -> MessageType.VIEW_PART;
        };
    }

    private static void write(MessageBufferPacker out, PeerMessage message) throws IOException {
        switch (message) {
            case PeerMessage.Hello m ->
                    out.packString(m.from().toString()).packString(m.peerAddress());
            case PeerMessage.Gossip m -> {
                RowCodec.writeRows(out, m.rows());
                RowCodec.writeHeartbeats(out, m.heartbeats());
            }
            case PeerMessage.Probe m -> out.packLong(m.probeId());
            case PeerMessage.ProbeReply m ->
                    out.packLong(m.probeId()).packLong(m.configurationVersion());
            case PeerMessage.Forward m -> writeForward(out, m);
            case PeerMessage.BodyChunk m -> writeBytes(out, m.bytes());
            case PeerMessage.ResponseChunk m -> writeBytes(out, m.bytes());
            case PeerMessage.ResponseComplete m ->
                    out.packString(m.contentType()).packLong(m.lengthBytes());
            case PeerMessage.ResponseEnd m -> writeResult(out, m.result());
            case PeerMessage.Credit m -> out.packInt(m.chunks());
            case PeerMessage.Cancel m -> out.packNil();
            case PeerMessage.ConfigurationFetch m -> out.packNil();
            case PeerMessage.ConfigurationPart m -> out.packString(m.text()).packBoolean(m.last());
            case PeerMessage.ProtocolError m -> out.packString(m.text());
            case PeerMessage.ViewFetch m -> out.packString(m.view());
            case PeerMessage.ViewPart m -> {
                writeBytes(out, m.bytes());
                out.packBoolean(m.last());
            }
        }
    }

    private static PeerMessage read(MessageType type, MessageUnpacker in) throws IOException {
        return switch (type) {
            case HELLO ->
                    new PeerMessage.Hello(EntryId.parse(in.unpackString()), in.unpackString());
            case GOSSIP ->
                    new PeerMessage.Gossip(RowCodec.readRows(in), RowCodec.readHeartbeats(in));
            case PROBE -> new PeerMessage.Probe(in.unpackLong());
            case PROBE_REPLY -> new PeerMessage.ProbeReply(in.unpackLong(), in.unpackLong());
            case FORWARD -> readForward(in);
            case BODY_CHUNK -> new PeerMessage.BodyChunk(readBytes(in));
            case RESPONSE_CHUNK -> new PeerMessage.ResponseChunk(readBytes(in));
            case RESPONSE_COMPLETE ->
                    new PeerMessage.ResponseComplete(in.unpackString(), in.unpackLong());
            case RESPONSE_END -> new PeerMessage.ResponseEnd(readResult(in));
            case CREDIT -> new PeerMessage.Credit(in.unpackInt());
            case CANCEL -> readNil(in, new PeerMessage.Cancel());
            case CONFIGURATION_FETCH -> readNil(in, new PeerMessage.ConfigurationFetch());
            case VIEW_FETCH -> new PeerMessage.ViewFetch(in.unpackString());
            case VIEW_PART -> new PeerMessage.ViewPart(readBytes(in), in.unpackBoolean());
            case CONFIGURATION_PART ->
                    new PeerMessage.ConfigurationPart(in.unpackString(), in.unpackBoolean());
            case PROTOCOL_ERROR -> new PeerMessage.ProtocolError(in.unpackString());
        };
    }

    private static PeerMessage readNil(MessageUnpacker in, PeerMessage message) throws IOException {
        in.unpackNil();
        return message;
    }

    private static void writeForward(MessageBufferPacker out, PeerMessage.Forward message)
            throws IOException {
        ForwardedRequest forwarded = message.forwarded();
        out.packString(message.requestId());
        out.packString(forwarded.shard().value());
        out.packString(forwarded.queue().value());
        out.packString(forwarded.team().value());
        out.packString(forwarded.kind().name());
        RowCodec.writeResources(out, forwarded.size());
        out.packBoolean(forwarded.urgent());
        out.packLong(forwarded.remainingMillis());
        out.packBoolean(forwarded.returnable());
        out.packInt(message.bodyBytes());
    }

    private static PeerMessage.Forward readForward(MessageUnpacker in) throws IOException {
        String requestId = in.unpackString();
        ForwardedRequest forwarded =
                new ForwardedRequest(
                        ShardId.of(in.unpackString()),
                        QueueId.of(in.unpackString()),
                        TeamId.of(in.unpackString()),
                        WorkKind.valueOf(in.unpackString()),
                        RowCodec.readResources(in),
                        in.unpackBoolean(),
                        in.unpackLong(),
                        in.unpackBoolean());
        return new PeerMessage.Forward(requestId, forwarded, in.unpackInt());
    }

    private static void writeResult(MessageBufferPacker out, AttemptResult result)
            throws IOException {
        out.packString(result.outcome().name());
        out.packString(result.reason().name());
        out.packLong(result.retryAfterMillis());
        out.packBoolean(result.retryElsewhere());
    }

    private static AttemptResult readResult(MessageUnpacker in) throws IOException {
        return new AttemptResult(
                Outcome.valueOf(in.unpackString()),
                RefusalReason.valueOf(in.unpackString()),
                in.unpackLong(),
                in.unpackBoolean());
    }

    private static void writeBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
        out.packBinaryHeader(bytes.length);
        out.writePayload(bytes);
    }

    private static byte[] readBytes(MessageUnpacker in) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length > Frame.MAX_BYTES) {
            throw new ProtocolException(
                    "a chunk of " + length + " bytes exceeds the maximum frame size");
        }
        return in.readPayload(length);
    }
}
