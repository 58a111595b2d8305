package org.jujubefork.entry.peer;

/**
 * A frame between entries.
 *
 * @param correlationId the forwarded request that the message is about; 0 for other messages
 * @param message the message
 */
public record Frame(long correlationId, PeerMessage message) {
    /** Version of the protocol. Entries with different versions refuse each other. */
    public static final int PROTOCOL_VERSION = 2;

    /** Longest frame in bytes, without its length field. */
    public static final int MAX_BYTES = 256 * 1024;

    /** Longest part of a body in one frame, in bytes. */
    public static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Returns a frame that is not about a forwarded request. */
    public static Frame of(PeerMessage message) {
        return new Frame(0, message);
    }

    /** Returns a frame about the forwarded request {@code correlationId}. */
    public static Frame of(long correlationId, PeerMessage message) {
        return new Frame(correlationId, message);
    }
}
