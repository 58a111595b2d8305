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
final class Division {
    /** Batch jobs with at most this many tasks stay in one shard. */
    static final int SMALL_JOB_TASKS = 16;

    private Division() {}

    /** Returns the parts of a job; empty if no shard can hold one of its tasks. */
    static PVector<JobPart> divide(State state, WorkKind kind, int tasks, Resources size) {
        List<Rooms.Room> fitting = new ArrayList<>();
        for (Rooms.Room room : Rooms.of(state, size)) {
            if (room.tasksInAll() > 0) {
                fitting.add(room);
            }
        }
        List<Rooms.Room> owned = fitting.stream().filter(Rooms.Room::owned).toList();
        List<Rooms.Room> rooms = owned.isEmpty() ? fitting : owned;
        if (rooms.isEmpty()) {
            return TreePVector.empty();
        }
        return switch (kind) {
            case GANG -> gang(fitting, tasks);
            case SERVICE -> service(rooms, tasks);
            default -> batch(rooms, tasks);
        };
    }

    /**
     * Returns the shard that leaves the least room over; shards that could start it now go first.
     */
    private static PVector<JobPart> gang(List<Rooms.Room> rooms, int tasks) {
        Optional<Rooms.Room> best =
                rooms.stream()
                        .filter(r -> r.tasksInAll() >= tasks)
                        .min(
                                Comparator.comparing((Rooms.Room r) -> !r.owned())
                                        .thenComparing(r -> r.tasksNow() < tasks)
                                        .thenComparingLong(
                                                r ->
                                                        r.tasksNow() < tasks
                                                                ? -r.tasksNow()
                                                                : r.tasksNow())
                                        .thenComparing(Rooms.Room::shard));
        return best.<PVector<JobPart>>map(
                        r -> TreePVector.singleton(JobPart.of(r.shard(), 0, tasks)))
                .orElse(TreePVector.empty());
    }

    private static PVector<JobPart> service(List<Rooms.Room> rooms, int tasks) {
        Map<String, List<Rooms.Room>> zones = new TreeMap<>();
        for (Rooms.Room room : rooms) {
            zones.computeIfAbsent(Sharding.zoneOf(room.shard()), z -> new ArrayList<>()).add(room);
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int zone = 0;
        for (List<Rooms.Room> members : zones.values()) {
            int inZone = even(tasks, zones.size(), zone++);
            for (int i = 0; i < members.size(); i++) {
                shards.add(members.get(i).shard());
                counts.add(even(inZone, members.size(), i));
            }
        }
        return parts(shards, counts);
    }

    private static int even(int total, int shares, int number) {
        return total / shares + (number < total % shares ? 1 : 0);
    }

    private static PVector<JobPart> batch(List<Rooms.Room> rooms, int tasks) {
        Rooms.Room roomiest =
                rooms.stream()
                        .max(
                                Comparator.comparingLong(Rooms.Room::tasksNow)
                                        .thenComparing(
                                                Rooms.Room::queued, Comparator.reverseOrder())
                                        .thenComparingLong(Rooms.Room::tasksInAll))
                        .orElseThrow();
        if (tasks <= SMALL_JOB_TASKS || rooms.size() == 1) {
            return TreePVector.singleton(JobPart.of(roomiest.shard(), 0, tasks));
        }
        boolean full = roomiest.tasksNow() == 0;
        long total = 0;
        for (Rooms.Room room : rooms) {
            total += full ? room.tasksInAll() : room.tasksNow();
        }
        List<ShardId> shards = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        long before = 0;
        int given = 0;
        for (Rooms.Room room : rooms) {
            before += full ? room.tasksInAll() : room.tasksNow();
            int upTo = (int) Math.round((double) tasks * before / total);
            shards.add(room.shard());
            counts.add(upTo - given);
            given = upTo;
        }
        return parts(shards, counts);
    }

    private static PVector<JobPart> parts(List<ShardId> shards, List<Integer> counts) {
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
