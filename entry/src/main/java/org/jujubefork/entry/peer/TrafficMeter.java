package org.jujubefork.entry.peer;

/** Receives the number of bytes sent to other entries. */
@FunctionalInterface
public interface TrafficMeter {
    /**
     * Counts bytes.
     *
     * @param peerAddress where the receiver accepts connections; empty if it has not introduced
     *     itself
     * @param purpose what the bytes are for: hello, gossip, probe, request, configuration or error
     * @param bytes how many, without the headers of TCP and IP
     */
    void count(String peerAddress, String purpose, long bytes);
}
