package org.jujubefork.core.membership;

import org.jujubefork.core.model.EntryId;

/**
 * A sign of life of an entry, sent itself or relayed.
 *
 * @param id the entry's run
 * @param heartbeat grows with each round of gossip of the entry
 * @param ageMillis how long ago the entry was heard from, in milliseconds of the sender's clock;
 *     relaying therefore does not make an entry look alive for longer
 */
public record Heartbeat(EntryId id, long heartbeat, long ageMillis) {
    /** Checks the age. */
    public Heartbeat {
        if (ageMillis < 0) {
            throw new IllegalArgumentException("age must not be negative: " + ageMillis);
        }
    }
}
