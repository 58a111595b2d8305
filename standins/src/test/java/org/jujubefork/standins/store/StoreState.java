package org.jujubefork.standins.store;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * Everything that the store keeps.
 *
 * @param revision number of changes so far
 * @param history the latest changes, without gaps in their revisions
 * @param historyBytes sum of the values in {@code history}
 * @param nextLease number of the next lease
 */
record StoreState(
        long revision,
        PSortedMap<String, StoredValue> values,
        TreePVector<StoredChange> history,
        long historyBytes,
        PMap<String, StoredLease> leases,
        long nextLease) {
    static StoreState empty() {
        return new StoreState(0, TreePMap.empty(), TreePVector.empty(), 0, HashTreePMap.empty(), 1);
    }

    /** Returns the oldest revision after which all changes are in the history. */
    long trimmedThrough() {
        return history.isEmpty() ? revision : history.get(0).revision() - 1;
    }

    long revisionOf(String key) {
        StoredValue value = values.get(key);
        return value == null ? 0 : value.revision();
    }
}
