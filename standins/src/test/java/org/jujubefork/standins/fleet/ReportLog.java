package org.jujubefork.standins.fleet;

import java.util.Collection;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a worker must remember to answer a renewal with the changes since an earlier answer.
 *
 * @param revision name of the newest state that an answer showed; never used twice, not even after
 *     a restart
 * @param floor lowest revision since which the changes are still known
 * @param listed the running tasks as the newest answer showed them
 * @param gone tasks that left the list, with the revision at which they did
 */
record ReportLog(long revision, long floor, PMap<TaskId, Listed> listed, PMap<TaskId, Long> gone) {
    /** Change of usage, as a part of the declared size, from which a task is listed again. */
    static final double USAGE_STEP = 0.05;

    /**
     * A running task as the newest answer showed it.
     *
     * @param addedAt revision at which it was first listed
     * @param changedAt revision at which its usage was last listed
     * @param usage the usage that was listed
     * @param peak the highest usage that was listed, component by component
     */
    record Listed(
            SimulatedTask task, long addedAt, long changedAt, Resources usage, Resources peak) {}

    static ReportLog empty() {
        return new ReportLog(0, 1, HashTreePMap.empty(), HashTreePMap.empty());
    }

    /** Returns this log after a lease was granted: the next answers start from a full one. */
    ReportLog leased() {
        return new ReportLog(revision + 1, revision + 1, listed, HashTreePMap.empty());
    }

    /** Returns this log after a restart, which leaves no task. */
    ReportLog restarted() {
        return new ReportLog(
                revision + 1, revision + 1, HashTreePMap.empty(), HashTreePMap.empty());
    }

    /** Returns whether the changes since {@code seen} are known. */
    boolean covers(long seen) {
        return floor <= seen && seen <= revision;
    }

    /** Returns this log without what only answers to older revisions than {@code seen} need. */
    ReportLog confirmed(long seen) {
        if (!covers(seen)) {
            return this;
        }
        PMap<TaskId, Long> kept = gone;
        for (Map.Entry<TaskId, Long> entry : gone.entrySet()) {
            kept = entry.getValue() <= seen ? kept.minus(entry.getKey()) : kept;
        }
        return new ReportLog(revision, seen, listed, kept);
    }

    /** Returns this log brought in line with the tasks that run now. */
    ReportLog observed(Collection<SimulatedTask> running, long nowNanos, long usageLagNanos) {
        long next = revision + 1;
        PMap<TaskId, Listed> now = HashTreePMap.empty();
        boolean changed = false;
        for (SimulatedTask task : running) {
            TaskId id = task.spec().id();
            Resources usage = task.usage(nowNanos, usageLagNanos);
            Listed before = listed.get(id);
            Listed after = before;
            if (before == null) {
                after = new Listed(task, next, next, usage, usage);
            } else if (isWorthListing(before, usage)) {
                after = new Listed(task, before.addedAt(), next, usage, usage.max(before.peak()));
            }
            changed |= !after.equals(before);
            now = now.plus(id, after);
        }
        PMap<TaskId, Long> left = gone;
        for (TaskId id : listed.keySet()) {
            if (!now.containsKey(id)) {
                left = left.plus(id, next);
                changed = true;
            }
        }
        return changed ? new ReportLog(next, floor, now, left) : this;
    }

    /**
     * A new peak is listed however small its step, because placement charges a task with its peak
     * and must not pack a worker past its capacity.
     */
    private static boolean isWorthListing(Listed before, Resources usage) {
        if (!usage.fitsIn(before.peak())) {
            return true;
        }
        Resources size = before.task().spec().size();
        Resources old = before.usage();
        return isStep(old.cpuMillis(), usage.cpuMillis(), size.cpuMillis())
                || isStep(old.memoryMb(), usage.memoryMb(), size.memoryMb())
                || isStep(old.accelerators(), usage.accelerators(), size.accelerators());
    }

    private static boolean isStep(long before, long now, long declared) {
        return Math.abs(now - before) > USAGE_STEP * declared;
    }
}
