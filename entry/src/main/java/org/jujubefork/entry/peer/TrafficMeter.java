package org.jujubefork.entry.peer;

/** Counts the bytes sent to other entries. */
@FunctionalInterface
public interface TrafficMeter {
    /**
     * Counts the bytes of one frame.
     *
     * @param peerAddress address at which the receiver accepts connections; empty if the receiver
     *     opened the connection
     * @param purpose the kind of message: hello, gossip, probe, request, configuration, view or
     *     error
     * @param bytes size of the frame, without TCP and IP headers
     */
    void count(String peerAddress, String purpose, long bytes);
}
