package org.jujubefork.core.workflow;

import java.util.Arrays;
import java.util.Map;

/**
 * When CPU capacity of a service, or of the limit of a team, becomes free for new work. Work that
 * waits already uses the free capacity first. Immutable.
 */
final class RoomTable {
    /** Wait for capacity that never becomes free, in milliseconds. */
    static final long NEVER = Long.MAX_VALUE;

    private final Map<Integer, Long> workByPriority;

    /** The capacity in millicores that is free at each bound of {@link RemainingTimes}. */
    private final double[] free;

    /** The integral of the free capacity up to each bound, in millicores times milliseconds. */
    private final double[] freeWork;

    /**
     * Creates a table.
     *
     * @param freeMillicores the capacity that is free now; negative if a limit is exceeded
     * @param usedMillicores the capacity that running tasks use
     * @param remaining when the running tasks end
     * @param workByPriority the work that waits, in millicores times milliseconds
     */
    RoomTable(
            long freeMillicores,
            long usedMillicores,
            RemainingTimes remaining,
            Map<Integer, Long> workByPriority) {
        this.workByPriority = Map.copyOf(workByPriority);
        this.free = new double[RemainingTimes.boundCount()];
        Arrays.setAll(free, i -> freeMillicores + usedMillicores * remaining.endedFraction(i));
        this.freeWork = new double[free.length];
        for (int i = 1; i < free.length; i++) {
            double millis = RemainingTimes.boundMillis(i) - RemainingTimes.boundMillis(i - 1);
            freeWork[i] = freeWork[i - 1] + Math.max(0, (free[i - 1] + free[i]) / 2) * millis;
        }
    }

    /**
     * Returns how long a new task of {@code priority} waits until the waiting work of the same or a
     * more urgent priority has been done and {@code millicores} are free, in milliseconds; {@link
     * #NEVER} if that is not foreseeable.
     */
    long waitMillis(int priority, long millicores) {
        return Math.max(millisUntilDone(workAhead(priority)), millisUntilFree(millicores));
    }

    /** Returns the waiting work of {@code priority} or a more urgent one. */
    long workAhead(int priority) {
        long work = 0;
        for (Map.Entry<Integer, Long> entry : workByPriority.entrySet()) {
            work += entry.getKey() <= priority ? entry.getValue() : 0;
        }
        return work;
    }

    private long millisUntilDone(long work) {
        if (work <= 0) {
            return 0;
        }
        int last = free.length - 1;
        if (work > freeWork[last]) {
            return free[last] <= 0
                    ? NEVER
                    : Math.round(
                            RemainingTimes.boundMillis(last)
                                    + (work - freeWork[last]) / free[last]);
        }
        return crossingMillis(freeWork, work);
    }

    private long millisUntilFree(long millicores) {
        if (free[0] >= millicores) {
            return 0;
        }
        return free[free.length - 1] < millicores ? NEVER : crossingMillis(free, millicores);
    }

    /**
     * Returns when the ascending {@code values} reach {@code target}, interpolated between bounds.
     */
    private static long crossingMillis(double[] values, double target) {
        int i = 1;
        while (values[i] < target) {
            i++;
        }
        double from = RemainingTimes.boundMillis(i - 1);
        double fraction = (target - values[i - 1]) / (values[i] - values[i - 1]);
        return Math.round(from + fraction * (RemainingTimes.boundMillis(i) - from));
    }
}
