package org.jujubefork.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.ownership.Sharding;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Assigns the tasks of a new job to shards. */
final class JobPartitioner {
    /** Batch jobs with at most this many tasks are assigned to a single shard. */
    static final int MAX_SINGLE_SHARD_TASKS = 16;

    private JobPartitioner() {}

    /**
     * Returns the parts of a job with {@code tasks} tasks of {@code size} each; empty if no
     * suitable shard has workers that are large enough.
     */
    static PVector<JobPart> partition(State state, WorkKind kind, int tasks, Resources size) {
        List<ShardCapacities.Capacity> fitting = new ArrayList<>();
        for (ShardCapacities.Capacity capacity : ShardCapacities.of(state, size)) {
            if (capacity.tasksFittingEmpty() > 0) {
                fitting.add(capacity);
            }
        }
        List<ShardCapacities.Capacity> owned =
                fitting.stream().filter(ShardCapacities.Capacity::owned).toList();
        List<ShardCapacities.Capacity> capacities = owned.isEmpty() ? fitting : owned;
        if (capacities.isEmpty()) {
            return TreePVector.empty();
        }
        return switch (kind) {
            case GANG -> gangParts(fitting, tasks);
            case SERVICE -> serviceParts(capacities, tasks);
            default -> batchParts(capacities, tasks);
        };
    }

    /**
     * Assigns the whole gang to one shard. Prefers shards with an owner, then shards that can start
     * the gang now. Among shards that can start the gang now, chooses the shard with the least free
     * capacity (best fit); if there are none, chooses the shard with the most free capacity.
     */
    private static PVector<JobPart> gangParts(
            List<ShardCapacities.Capacity> capacities, int tasks) {
        Optional<ShardCapacities.Capacity> best =
                capacities.stream()
                        .filter(c -> c.tasksFittingEmpty() >= tasks)
                        .min(
                                Comparator.comparing((ShardCapacities.Capacity c) -> !c.owned())
                                        .thenComparing(c -> c.tasksFittingNow() < tasks)
                                        .thenComparingLong(
                                                c ->
                                                        c.tasksFittingNow() < tasks
                                                                ? -c.tasksFittingNow()
                                                                : c.tasksFittingNow())
                                        .thenComparing(ShardCapacities.Capacity::shard));
        return best.<PVector<JobPart>>map(
                        c -> TreePVector.singleton(JobPart.of(c.shard(), 0, tasks)))
                .orElse(TreePVector.empty());
    }

    private static PVector<JobPart> serviceParts(
            List<ShardCapacities.Capacity> capacities, int tasks) {
        Map<String, List<ShardCapacities.Capacity>> zones = new TreeMap<>();
        for (ShardCapacities.Capacity capacity : capacities) {
            zones.computeIfAbsent(Sharding.zoneOf(capacity.shard()), z -> new ArrayList<>())
                    .add(capacity);
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int zoneIndex = 0;
        for (List<ShardCapacities.Capacity> zoneCapacities : zones.values()) {
            int zoneTasks = evenShare(tasks, zones.size(), zoneIndex++);
            for (int i = 0; i < zoneCapacities.size(); i++) {
                shards.add(zoneCapacities.get(i).shard());
                counts.add(evenShare(zoneTasks, zoneCapacities.size(), i));
            }
        }
        return consecutiveParts(shards, counts);
    }

    private static int evenShare(int total, int shareCount, int index) {
        return total / shareCount + (index < total % shareCount ? 1 : 0);
    }

    private static PVector<JobPart> batchParts(
            List<ShardCapacities.Capacity> capacities, int tasks) {
        ShardCapacities.Capacity largest =
                capacities.stream()
                        .max(
                                Comparator.comparingLong(ShardCapacities.Capacity::tasksFittingNow)
                                        .thenComparing(
                                                ShardCapacities.Capacity::queued,
                                                Comparator.reverseOrder())
                                        .thenComparingLong(
                                                ShardCapacities.Capacity::tasksFittingEmpty))
                        .orElseThrow();
        if (tasks <= MAX_SINGLE_SHARD_TASKS || capacities.size() == 1) {
            return TreePVector.singleton(JobPart.of(largest.shard(), 0, tasks));
        }
        boolean nothingFree = largest.tasksFittingNow() == 0;
        long totalCapacity = 0;
        for (ShardCapacities.Capacity capacity : capacities) {
            totalCapacity +=
                    nothingFree ? capacity.tasksFittingEmpty() : capacity.tasksFittingNow();
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        long cumulative = 0;
        int assigned = 0;
        for (ShardCapacities.Capacity capacity : capacities) {
            cumulative += nothingFree ? capacity.tasksFittingEmpty() : capacity.tasksFittingNow();
            int endIndex = (int) Math.round((double) tasks * cumulative / totalCapacity);
            shards.add(capacity.shard());
            counts.add(endIndex - assigned);
            assigned = endIndex;
        }
        return consecutiveParts(shards, counts);
    }

    private static PVector<JobPart> consecutiveParts(List<ShardId> shards, List<Integer> counts) {
        PVector<JobPart> parts = TreePVector.empty();
        int from = 0;
        for (int i = 0; i < shards.size(); i++) {
            if (counts.get(i) > 0) {
                parts = parts.plus(JobPart.of(shards.get(i), from, from + counts.get(i)));
                from += counts.get(i);
            }
        }
        return parts;
    }
}
