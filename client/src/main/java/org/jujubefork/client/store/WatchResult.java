package org.jujubefork.client.store;

import java.util.List;

/** Answer to a watch. */
public sealed interface WatchResult {
    /**
     * All changes below the prefix, or none if the time is over.
     *
     * @param revision the store's revision that the answer covers; the next watch starts after it
     * @param changes the changes in the order of their revisions
     */
    record Changes(long revision, List<Change> changes) implements WatchResult {
        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The store no longer has the history that was asked for (status 410). The caller reads the
     * range again and watches from the revision of that answer.
     *
     * @param revision the store's current revision
     */
    record Trimmed(long revision) implements WatchResult {}
}
