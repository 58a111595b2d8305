package org.jujubefork.client.store;

import java.util.List;

/** Result of a watch. */
public sealed interface WatchResult {
    /**
     * All changes of keys with the prefix; none if the wait time elapsed without a change.
     *
     * @param revision store revision up to which changes are included; the next watch starts after
     *     it
     * @param changes changes in order of revision
     */
    record Changes(long revision, List<Change> changes) implements WatchResult {
        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The store no longer has the history since the requested revision (status 410). The caller
     * reads the range again and watches from the revision of that read.
     *
     * @param revision current store revision
     */
    record Trimmed(long revision) implements WatchResult {}
}
