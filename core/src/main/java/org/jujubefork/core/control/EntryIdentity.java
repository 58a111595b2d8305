package org.jujubefork.core.control;

import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;

/**
 * What an entry knows of itself from its settings.
 *
 * @param id this run of the entry
 * @param location where it stands
 * @param httpAddress host and port for callers
 * @param peerAddress host and port for other entries
 */
public record EntryIdentity(
        EntryId id, Location location, String httpAddress, String peerAddress) {}
