package org.jujubefork.core.membership;

import org.jujubefork.core.model.EntryId;

/**
 * A heartbeat of an entry, sent by the entry itself or relayed by another entry.
 *
 * @param id the name and incarnation of the entry
 * @param heartbeat the heartbeat counter of the entry, which grows with each of its gossip rounds
 * @param ageMillis the age of the heartbeat when the message was sent, in milliseconds; the age is
 *     relayed so that relaying does not delay the detection of a dead entry
 */
public record Heartbeat(EntryId id, long heartbeat, long ageMillis) {
    /**
     * Creates a heartbeat.
     *
     * @throws IllegalArgumentException if the age is negative
     */
    public Heartbeat {
        if (ageMillis < 0) {
            throw new IllegalArgumentException("heartbeat age must not be negative: " + ageMillis);
        }
    }
}
