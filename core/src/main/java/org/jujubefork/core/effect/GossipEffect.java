package org.jujubefork.core.effect;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PVector;

/** Messages to other entries about membership and configuration. */
public sealed interface GossipEffect extends Effect {
    /**
     * Send rows to another entry.
     *
     * @param peerAddress its address
     * @param rows rows that the other entry may not have yet, this entry's own first
     * @param heartbeats signs of life of this entry and of those that it hears of
     */
    record SendGossip(String peerAddress, PVector<MemberRow> rows, PVector<Heartbeat> heartbeats)
            implements GossipEffect {}

    /**
     * Ask another entry which configuration is in force there.
     *
     * @param peerAddress its address
     * @param probeId to be repeated in the reply
     */
    record SendProbe(String peerAddress, long probeId) implements GossipEffect {}

    /**
     * Answer a probe.
     *
     * @param peerAddress the address of the entry that asked
     * @param probeId the id of the probe
     * @param configurationVersion the version in force here
     */
    record SendProbeReply(String peerAddress, long probeId, long configurationVersion)
            implements GossipEffect {}

    /**
     * Read the configuration from another entry.
     *
     * @param from the entry
     * @param peerAddress its address
     */
    record FetchConfiguration(EntryId from, String peerAddress) implements GossipEffect {}
}
