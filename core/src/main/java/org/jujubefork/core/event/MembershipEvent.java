package org.jujubefork.core.event;

import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.model.EntryId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** News of other entries. */
public sealed interface MembershipEvent extends Event {
    /**
     * Rows arrived from another entry.
     *
     * @param atMillis when
     * @param from the sender
     * @param rows rows that this entry may not have yet, of the sender or passed on
     * @param heartbeats signs of life of the sender and of entries that it hears of
     */
    record GossipReceived(
            long atMillis, EntryId from, PVector<MemberRow> rows, PVector<Heartbeat> heartbeats)
            implements MembershipEvent {
        /** Creates the event for a message without separate heartbeats. */
        public GossipReceived(long atMillis, EntryId from, PVector<MemberRow> rows) {
            this(atMillis, from, rows, TreePVector.empty());
        }
    }

    /**
     * Addresses of other entries were found in the settings or in the store.
     *
     * @param atMillis when
     * @param peerAddresses host and port for other entries
     */
    record PeersDiscovered(long atMillis, PVector<String> peerAddresses)
            implements MembershipEvent {}

    /**
     * Another entry asks which configuration is in force here.
     *
     * @param atMillis when
     * @param from the entry that asks
     * @param peerAddress where to send the reply
     * @param probeId repeated in the reply
     */
    record ProbeReceived(long atMillis, EntryId from, String peerAddress, long probeId)
            implements MembershipEvent {}

    /**
     * An entry answered a probe itself.
     *
     * @param atMillis when
     * @param from the entry that answered
     * @param probeId the id that the probe carried, which is its send time in milliseconds
     * @param configurationVersion the version that was in force at the sender when it answered
     */
    record ProbeReplied(long atMillis, EntryId from, long probeId, long configurationVersion)
            implements MembershipEvent {}
}
