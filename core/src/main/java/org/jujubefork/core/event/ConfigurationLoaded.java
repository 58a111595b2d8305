package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.model.EntryId;

/**
 * A configuration was read and checked.
 *
 * @param atMillis when
 * @param configuration the configuration, merged for this entry's site
 * @param peer the entry that it came from; empty if it was read from the store
 */
public record ConfigurationLoaded(
        long atMillis, Configuration configuration, Optional<EntryId> peer) implements Event {}
