package org.jujubefork.entry.peer;

import org.glassfish.grizzly.Connection;

/** Counts the bytes of each message that is written to another entry. */
@FunctionalInterface
interface SentBytesCounter {
    /** Counts the frame of {@code message}, whose size is {@code bytes} with its length field. */
    void count(Connection<?> connection, PeerMessage message, long bytes);
}
