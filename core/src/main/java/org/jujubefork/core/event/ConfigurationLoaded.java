package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.model.EntryId;

/**
 * A configuration was read and validated.
 *
 * @param atMillis when this entry received the configuration
 * @param configuration the configuration, merged with the overlay of this entry's site
 * @param peer the entry that sent the configuration; empty if it was read from the store
 */
public record ConfigurationLoaded(
        long atMillis, Configuration configuration, Optional<EntryId> peer) implements Event {}
