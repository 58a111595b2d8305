package org.jujubefork.entry.peer;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.requests.ForwardedRequest;
import org.pcollections.PVector;

/**
 * A message between entries. The correlation id of a forwarded request is part of the frame, not of
 * the message.
 */
public sealed interface PeerMessage {
    /** Returns what the message is for, as metrics name it. */
    default String purpose() {
        return switch (this) {
            case Hello m -> "hello";
            case Gossip m -> "gossip";
            case Probe m -> "probe";
            case ProbeReply m -> "probe";
            case Forward m -> "request";
            case BodyChunk m -> "request";
            case ResponseChunk m -> "request";
            case ResponseComplete m -> "request";
            case ResponseEnd m -> "request";
            case Credit m -> "request";
            case Cancel m -> "request";
            case ConfigurationFetch m -> "configuration";
            case ConfigurationPart m -> "configuration";
            case ProtocolError m -> "error";
            case ViewFetch m -> "view";
            case ViewPart m -> "view";
        };
    }

    /**
     * Introduces the sender; the first message on each connection.
     *
     * @param from the sender's run
     * @param peerAddress where the sender accepts connections of other entries
     */
    record Hello(EntryId from, String peerAddress) implements PeerMessage {}

    /**
     * Rows and signs of life of the sender and of other entries.
     *
     * @param rows the rows
     * @param heartbeats the signs of life
     */
    record Gossip(PVector<MemberRow> rows, PVector<Heartbeat> heartbeats) implements PeerMessage {}

    /**
     * Asks which configuration is in force.
     *
     * @param probeId repeated in the reply
     */
    record Probe(long probeId) implements PeerMessage {}

    /**
     * Answers a probe.
     *
     * @param probeId the id of the probe
     * @param configurationVersion the version in force at the sender
     */
    record ProbeReply(long probeId, long configurationVersion) implements PeerMessage {}

    /**
     * Asks the owner of a shard to run a request. The body follows in {@link BodyChunk} messages.
     *
     * @param requestId the request's id at the sender
     * @param forwarded what is to run
     * @param bodyBytes length of the body
     */
    record Forward(String requestId, ForwardedRequest forwarded, int bodyBytes)
            implements PeerMessage {}

    /**
     * A part of the body of a forwarded request.
     *
     * @param bytes the part
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    record BodyChunk(byte[] bytes) implements PeerMessage {}

    /**
     * A part of the answer of a forwarded request.
     *
     * @param bytes the part
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    record ResponseChunk(byte[] bytes) implements PeerMessage {}

    /**
     * The answer of a forwarded request is complete.
     *
     * @param contentType its media type
     * @param lengthBytes its length
     */
    record ResponseComplete(String contentType, long lengthBytes) implements PeerMessage {}

    /**
     * Tells what became of a forwarded request; the last message about it.
     *
     * @param result the result
     */
    record ResponseEnd(AttemptResult result) implements PeerMessage {}

    /**
     * Lets the owner send more chunks of an answer.
     *
     * @param chunks how many more
     */
    record Credit(int chunks) implements PeerMessage {}

    /** The answer of a forwarded request is no longer wanted. */
    record Cancel() implements PeerMessage {}

    /** Asks for the configuration document. */
    record ConfigurationFetch() implements PeerMessage {}

    /**
     * A part of a configuration document in its stored form.
     *
     * @param text the part
     * @param last whether it is the last one
     */
    record ConfigurationPart(String text, boolean last) implements PeerMessage {}

    /**
     * Asks for the rows of the receiver's shards in a view for operators.
     *
     * @param view the name of the view
     */
    record ViewFetch(String view) implements PeerMessage {}

    /**
     * A part of a view, in the API's JSON form. A view without bytes is not available.
     *
     * @param bytes the part
     * @param last whether it is the last one
     */
    @SuppressWarnings("ArrayRecordComponent") // rows are not copied
    record ViewPart(byte[] bytes, boolean last) implements PeerMessage {}

    /**
     * The receiver cannot go on with this connection.
     *
     * @param text why
     */
    record ProtocolError(String text) implements PeerMessage {}
}
