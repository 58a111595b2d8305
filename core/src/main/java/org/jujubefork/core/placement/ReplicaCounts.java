package org.jujubefork.core.placement;

import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The number of replicas of one service by rack and by worker.
 *
 * @param byRack replicas by rack
 * @param byWorker replicas by worker
 */
public record ReplicaCounts(
        PSortedMap<String, Integer> byRack, PSortedMap<WorkerId, Integer> byWorker) {
    /** The counts of a service without replicas. */
    public static final ReplicaCounts NONE = new ReplicaCounts(TreePMap.empty(), TreePMap.empty());

    /** Returns how many replicas run in {@code rack}. */
    public int inRack(String rack) {
        return byRack.getOrDefault(rack, 0);
    }

    /** Returns how many replicas run on {@code worker}. */
    public int onWorker(WorkerId worker) {
        return byWorker.getOrDefault(worker, 0);
    }

    /**
     * Returns these counts with {@code change} added for {@code worker}, which is in {@code rack};
     * {@code change} may be negative.
     */
    ReplicaCounts plus(String rack, WorkerId worker, int change) {
        return new ReplicaCounts(adjust(byRack, rack, change), adjust(byWorker, worker, change));
    }

    boolean isEmpty() {
        return byWorker.isEmpty();
    }

    private static <K> PSortedMap<K, Integer> adjust(
            PSortedMap<K, Integer> counts, K key, int change) {
        int count = counts.getOrDefault(key, 0) + change;
        return count <= 0 ? counts.minus(key) : counts.plus(key, count);
    }
}
