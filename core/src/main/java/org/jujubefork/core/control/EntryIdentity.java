package org.jujubefork.core.control;

import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;

/**
 * The identity of an entry, as configured in its settings.
 *
 * @param id name and incarnation of the entry
 * @param location region and availability zone of its VM
 * @param httpAddress host and port of the API for callers
 * @param peerAddress host and port for connections from other entries
 */
public record EntryIdentity(
        EntryId id, Location location, String httpAddress, String peerAddress) {}
