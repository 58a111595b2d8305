package org.jujubefork.core.placement;

import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Where the replicas of one service stand.
 *
 * @param racks replicas by rack
 * @param workers replicas by worker
 */
public record Siblings(PSortedMap<String, Integer> racks, PSortedMap<WorkerId, Integer> workers) {
    /** No replica. */
    public static final Siblings NONE = new Siblings(TreePMap.empty(), TreePMap.empty());

    /** Returns how many replicas stand in {@code rack}. */
    public int inRack(String rack) {
        return racks.getOrDefault(rack, 0);
    }

    /** Returns how many replicas stand on {@code worker}. */
    public int on(WorkerId worker) {
        return workers.getOrDefault(worker, 0);
    }

    /** Returns these counts with {@code change} more replicas on {@code worker}. */
    Siblings plus(String rack, WorkerId worker, int change) {
        return new Siblings(changed(racks, rack, change), changed(workers, worker, change));
    }

    boolean isEmpty() {
        return workers.isEmpty();
    }

    private static <K> PSortedMap<K, Integer> changed(
            PSortedMap<K, Integer> counts, K key, int change) {
        int count = counts.getOrDefault(key, 0) + change;
        return count <= 0 ? counts.minus(key) : counts.plus(key, count);
    }
}
