package org.jujubefork.core.event;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Messages from other entries, and addresses of other entries that were discovered. */
public sealed interface MembershipEvent extends Event {
    /**
     * A gossip message arrived from another entry.
     *
     * @param atMillis when the message arrived
     * @param from the sender
     * @param rows rows of the sender and of other members that this entry may not have yet
     * @param heartbeats latest heartbeats of the sender and of the members that it knows
     */
    record GossipReceived(
            long atMillis, EntryId from, PVector<MemberRow> rows, PVector<Heartbeat> heartbeats)
            implements MembershipEvent {
        /** Creates the event for a message that contains no heartbeats besides its rows. */
        public GossipReceived(long atMillis, EntryId from, PVector<MemberRow> rows) {
            this(atMillis, from, rows, TreePVector.empty());
        }
    }

    /**
     * Addresses of other entries were found in the settings or in the store.
     *
     * @param atMillis when the addresses were read
     * @param peerAddresses host and port of each entry found
     */
    record PeersDiscovered(long atMillis, PVector<String> peerAddresses)
            implements MembershipEvent {}

    /**
     * Another entry asks which configuration version is in force here.
     *
     * @param atMillis when the probe arrived
     * @param from the sender
     * @param peerAddress host and port of the sender, to which the reply is sent
     * @param probeId identifier that the reply must repeat
     */
    record ProbeReceived(long atMillis, EntryId from, String peerAddress, long probeId)
            implements MembershipEvent {}

    /**
     * Another entry replied to a probe. Replies come from the probed entry itself, not by gossip.
     *
     * @param atMillis when the reply arrived
     * @param from the sender of the reply
     * @param probeId the identifier of the probe, which is its send time in milliseconds
     * @param configurationVersion the version that was in force at the sender when it replied
     */
    record ProbeReplied(long atMillis, EntryId from, long probeId, long configurationVersion)
            implements MembershipEvent {}
}
