package org.jujubefork.entry.peer;

import org.glassfish.grizzly.Connection;

/** Counts the bytes of each message that is written to another entry. */
@FunctionalInterface
interface SentBytesCounter {
    /** Counts {@code bytes}, the length of the frame of {@code message} with its length field. */
    void count(Connection<?> connection, PeerMessage message, long bytes);
}
