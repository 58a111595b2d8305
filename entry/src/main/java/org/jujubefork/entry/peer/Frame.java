package org.jujubefork.entry.peer;

/**
 * A frame of the protocol between entries: a message and its correlation id.
 *
 * @param correlationId id of the forwarded request or view fetch that the message belongs to,
 *     chosen by the entry that started it; 0 for other messages
 * @param message the message
 */
public record Frame(long correlationId, PeerMessage message) {
    /** Protocol version, sent in each frame. A frame with another version is rejected. */
    public static final int PROTOCOL_VERSION = 2;

    /** Maximum size of a frame in bytes, without its length field. */
    public static final int MAX_BYTES = 256 * 1024;

    /** Maximum size of the part of a body that one frame carries, in bytes. */
    public static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Returns a frame for a message that belongs to no request or view fetch; its id is 0. */
    public static Frame of(PeerMessage message) {
        return new Frame(0, message);
    }

    /** Returns a frame that belongs to the request or view fetch {@code correlationId}. */
    public static Frame of(long correlationId, PeerMessage message) {
        return new Frame(correlationId, message);
    }
}
