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

/** Divides the tasks of a new job among shards. */
final class JobPartitioner {
    /** Batch jobs with at most this many tasks stay in one shard. */
    static final int MAX_SINGLE_SHARD_TASKS = 16;

    private JobPartitioner() {}

    /** Returns the parts of a job; empty if no shard can hold one of its tasks. */
    static PVector<JobPart> partition(State state, WorkKind kind, int tasks, Resources size) {
        List<ShardCapacities.Capacity> fitting = new ArrayList<>();
        for (ShardCapacities.Capacity room : ShardCapacities.of(state, size)) {
            if (room.tasksFittingEmpty() > 0) {
                fitting.add(room);
            }
        }
        List<ShardCapacities.Capacity> owned =
                fitting.stream().filter(ShardCapacities.Capacity::owned).toList();
        List<ShardCapacities.Capacity> rooms = owned.isEmpty() ? fitting : owned;
        if (rooms.isEmpty()) {
            return TreePVector.empty();
        }
        return switch (kind) {
            case GANG -> gangParts(fitting, tasks);
            case SERVICE -> serviceParts(rooms, tasks);
            default -> batchParts(rooms, tasks);
        };
    }

    /**
     * Returns the shard that leaves the least room over; shards that could start it now go first.
     */
    private static PVector<JobPart> gangParts(List<ShardCapacities.Capacity> rooms, int tasks) {
        Optional<ShardCapacities.Capacity> best =
                rooms.stream()
                        .filter(r -> r.tasksFittingEmpty() >= tasks)
                        .min(
                                Comparator.comparing((ShardCapacities.Capacity r) -> !r.owned())
                                        .thenComparing(r -> r.tasksFittingNow() < tasks)
                                        .thenComparingLong(
                                                r ->
                                                        r.tasksFittingNow() < tasks
                                                                ? -r.tasksFittingNow()
                                                                : r.tasksFittingNow())
                                        .thenComparing(ShardCapacities.Capacity::shard));
        return best.<PVector<JobPart>>map(
                        r -> TreePVector.singleton(JobPart.of(r.shard(), 0, tasks)))
                .orElse(TreePVector.empty());
    }

    private static PVector<JobPart> serviceParts(List<ShardCapacities.Capacity> rooms, int tasks) {
        Map<String, List<ShardCapacities.Capacity>> zones = new TreeMap<>();
        for (ShardCapacities.Capacity room : rooms) {
            zones.computeIfAbsent(Sharding.zoneOf(room.shard()), z -> new ArrayList<>()).add(room);
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int zone = 0;
        for (List<ShardCapacities.Capacity> members : zones.values()) {
            int inZone = evenShare(tasks, zones.size(), zone++);
            for (int i = 0; i < members.size(); i++) {
                shards.add(members.get(i).shard());
                counts.add(evenShare(inZone, members.size(), i));
            }
        }
        return consecutiveParts(shards, counts);
    }

    private static int evenShare(int total, int shares, int number) {
        return total / shares + (number < total % shares ? 1 : 0);
    }

    private static PVector<JobPart> batchParts(List<ShardCapacities.Capacity> rooms, int tasks) {
        ShardCapacities.Capacity roomiest =
                rooms.stream()
                        .max(
                                Comparator.comparingLong(ShardCapacities.Capacity::tasksFittingNow)
                                        .thenComparing(
                                                ShardCapacities.Capacity::queued,
                                                Comparator.reverseOrder())
                                        .thenComparingLong(
                                                ShardCapacities.Capacity::tasksFittingEmpty))
                        .orElseThrow();
        if (tasks <= MAX_SINGLE_SHARD_TASKS || rooms.size() == 1) {
            return TreePVector.singleton(JobPart.of(roomiest.shard(), 0, tasks));
        }
        boolean full = roomiest.tasksFittingNow() == 0;
        long total = 0;
        for (ShardCapacities.Capacity room : rooms) {
            total += full ? room.tasksFittingEmpty() : room.tasksFittingNow();
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        long before = 0;
        int given = 0;
        for (ShardCapacities.Capacity room : rooms) {
            before += full ? room.tasksFittingEmpty() : room.tasksFittingNow();
            int upTo = (int) Math.round((double) tasks * before / total);
            shards.add(room.shard());
            counts.add(upTo - given);
            given = upTo;
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
