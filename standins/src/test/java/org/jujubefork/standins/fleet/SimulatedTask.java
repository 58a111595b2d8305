package org.jujubefork.standins.fleet;

import java.util.concurrent.TimeUnit;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;

/**
 * A task that runs.
 *
 * @param endsNanos monotonic time at which it ends by itself, {@link #NEVER} if it does not
 * @param cpuLimitMillis limit from a throttle command, {@link Long#MAX_VALUE} without one
 */
record SimulatedTask(
        TaskSpec spec,
        TaskBehavior behavior,
        long startedNanos,
        long endsNanos,
        long cpuLimitMillis) {
    static final long NEVER = Long.MAX_VALUE;

    SimulatedTask throttled(long cpuMillis) {
        return new SimulatedTask(spec, behavior, startedNanos, endsNanos, cpuMillis);
    }

    boolean isDue(long nowNanos) {
        return endsNanos != NEVER && endsNanos - nowNanos <= 0;
    }

    /** Returns the use that a report shows: that of {@code lagNanos} ago. */
    Resources usage(long nowNanos, long lagNanos) {
        if (nowNanos - startedNanos < lagNanos) {
            return Resources.ZERO;
        }
        return peak();
    }

    Resources peak() {
        long cpu = behavior.usageCpuMillis().orElse(spec.size().cpuMillis());
        return Resources.of(
                Math.min(cpu, cpuLimitMillis),
                behavior.usageMemoryMb().orElse(spec.size().memoryMb()),
                spec.size().accelerators());
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos);
    }
}
