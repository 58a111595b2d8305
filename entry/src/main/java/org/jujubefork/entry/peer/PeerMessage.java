package org.jujubefork.entry.peer;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.requests.ForwardedRequest;
import org.pcollections.PVector;

/**
 * A message between entries. The correlation id, which ties a message to a forwarded request or a
 * view fetch, is part of the {@link Frame}, not of the message.
 */
public sealed interface PeerMessage {
    /** Returns the kind of message, the value of the traffic metric's label {@code purpose}. */
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
     * Identifies the sender. This is the first message on each connection.
     *
     * @param from the sender, with its incarnation
     * @param peerAddress address at which the sender accepts connections from other entries
     */
    record Hello(EntryId from, String peerAddress) implements PeerMessage {}

    /**
     * Carries membership rows and heartbeats of the sender and of other entries.
     *
     * @param rows rows that have changed since the receiver last had them
     * @param heartbeats the latest heartbeats of the sender and of other entries
     */
    record Gossip(PVector<MemberRow> rows, PVector<Heartbeat> heartbeats) implements PeerMessage {}

    /**
     * Checks whether the receiver is reachable and asks for its configuration version.
     *
     * @param probeId identifies the probe; repeated in the reply
     */
    record Probe(long probeId) implements PeerMessage {}

    /**
     * Answers a probe.
     *
     * @param probeId the id from the probe
     * @param configurationVersion version of the configuration that is active at the sender
     */
    record ProbeReply(long probeId, long configurationVersion) implements PeerMessage {}

    /**
     * Asks the owner of a shard to run a request. The body follows in {@link BodyChunk} messages.
     *
     * @param requestId the request's id at the sender
     * @param forwarded the shard, team, size and other attributes of the request
     * @param bodyBytes size of the whole body in bytes
     */
    record Forward(String requestId, ForwardedRequest forwarded, int bodyBytes)
            implements PeerMessage {}

    /**
     * Carries a part of the body of a forwarded request.
     *
     * @param bytes the part, at most {@link Frame#MAX_CHUNK_BYTES} long
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    record BodyChunk(byte[] bytes) implements PeerMessage {}

    /**
     * Carries a part of the answer to a forwarded request.
     *
     * @param bytes the part; each one uses up one chunk of credit
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies are not copied
    record ResponseChunk(byte[] bytes) implements PeerMessage {}

    /**
     * Reports that all parts of the answer to a forwarded request have been sent.
     *
     * @param contentType media type of the answer
     * @param lengthBytes length of the whole answer in bytes
     */
    record ResponseComplete(String contentType, long lengthBytes) implements PeerMessage {}

    /**
     * Reports the result of a forwarded request. This is the last message for the request.
     *
     * @param result the outcome, and when and where to retry
     */
    record ResponseEnd(AttemptResult result) implements PeerMessage {}

    /**
     * Permits the owner of the shard to send more chunks of the answer (flow control).
     *
     * @param chunks number of additional chunks
     */
    record Credit(int chunks) implements PeerMessage {}

    /** Cancels a forwarded request whose answer is no longer needed. */
    record Cancel() implements PeerMessage {}

    /** Asks the receiver to send its configuration document. */
    record ConfigurationFetch() implements PeerMessage {}

    /**
     * Carries a part of a configuration document in its stored form.
     *
     * @param text the part
     * @param last whether this is the last part
     */
    record ConfigurationPart(String text, boolean last) implements PeerMessage {}

    /**
     * Asks for the receiver's share of an operator view: the rows of the shards that it owns.
     *
     * @param view the name of the view
     */
    record ViewFetch(String view) implements PeerMessage {}

    /**
     * Carries a part of an operator view, in the JSON form of the API. A view of zero bytes means
     * that the sender cannot provide it.
     *
     * @param bytes the part
     * @param last whether this is the last part
     */
    @SuppressWarnings("ArrayRecordComponent") // views are not copied
    record ViewPart(byte[] bytes, boolean last) implements PeerMessage {}

    /**
     * Reports a protocol violation, after which the sender of this message closes the connection.
     *
     * @param text describes the violation
     */
    record ProtocolError(String text) implements PeerMessage {}
}
