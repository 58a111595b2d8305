package org.jujubefork.core.effect;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PVector;

/** Messages to other entries about membership and configuration. */
public sealed interface GossipEffect extends Effect {
    /**
     * Sends gossip to another entry.
     *
     * @param peerAddress host and port of the other entry
     * @param rows member rows that the other entry may not have yet, this entry's row first
     * @param heartbeats latest heartbeats of this entry and of the members that it knows
     */
    record SendGossip(String peerAddress, PVector<MemberRow> rows, PVector<Heartbeat> heartbeats)
            implements GossipEffect {}

    /**
     * Asks another entry which configuration version is in force there.
     *
     * @param peerAddress host and port of the other entry
     * @param probeId identifier that the reply repeats
     */
    record SendProbe(String peerAddress, long probeId) implements GossipEffect {}

    /**
     * Replies to a probe.
     *
     * @param peerAddress host and port of the entry that sent the probe
     * @param probeId identifier of the probe
     * @param configurationVersion the configuration version in force at this entry
     */
    record SendProbeReply(String peerAddress, long probeId, long configurationVersion)
            implements GossipEffect {}

    /**
     * Fetches the configuration from another entry.
     *
     * @param from the other entry
     * @param peerAddress host and port of the other entry
     */
    record FetchConfiguration(EntryId from, String peerAddress) implements GossipEffect {}
}
