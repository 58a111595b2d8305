package org.jujubefork.core.jobs;

import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;

/** An entry whose effects are executed by {@link JobsSimulation}. */
final class FakeEntry {
    final String name;
    final Location location;
    State state;
    long lastSeenRevision;
    long pausedUntilMillis;
    boolean dead;
    long lastStoreContactMillis;
    boolean isGossipBlocked;
    boolean isStoreUnreachable;

    FakeEntry(String name, Location location) {
        this.name = name;
        this.location = location;
    }

    void start(long incarnation, long now) {
        EntryId id = EntryId.of(name, incarnation);
        EntryIdentity self = new EntryIdentity(id, location, name + ":80", name + ":90");
        state = State.initial(self, Timing.DEFAULT, now);
        lastSeenRevision = 0;
        dead = false;
    }
}
