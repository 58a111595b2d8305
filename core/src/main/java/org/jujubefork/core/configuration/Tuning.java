package org.jujubefork.core.configuration;

import org.jujubefork.core.model.Resources;

/**
 * Figures that operators may change while the system runs.
 *
 * @param reclaimAfterMillis how long a team below its share waits before work of other teams is
 *     checkpointed for it
 * @param gangReserveAfterMillis how long a gang job waits before it reserves workers
 * @param requestReserve the part of each worker that only urgent requests may use
 * @param reservedSlots request slots of each worker that only urgent requests may use
 * @param maxQueuedTotal how many requests and tasks may wait in one shard
 * @param maxAttempts how often a task of a job is started at most
 * @param quarantineFailures failures of different tasks within {@code quarantineWindowMillis} that
 *     quarantine a worker
 * @param quarantineWindowMillis the window for {@code quarantineFailures}, in milliseconds
 * @param crossZoneCostMillis price of routing a request to another zone of the region, in
 *     milliseconds of waiting
 * @param crossRegionCostMillis price of routing a request to another region, in milliseconds of
 *     waiting
 */
public record Tuning(
        long reclaimAfterMillis,
        long gangReserveAfterMillis,
        Resources requestReserve,
        int reservedSlots,
        int maxQueuedTotal,
        int maxAttempts,
        int quarantineFailures,
        long quarantineWindowMillis,
        long crossZoneCostMillis,
        long crossRegionCostMillis,
        long crossRegionCostPerMibMillis) {
    /** The price of bytes across regions where the configuration says nothing. */
    public static final long DEFAULT_CROSS_REGION_COST_PER_MIB_MILLIS = 100;

    /** The values that apply where the configuration says nothing. */
    public static final Tuning DEFAULT =
            new Tuning(
                    30_000, 10_000, Resources.of(1_000, 1_024, 0), 2, 20_000, 3, 5, 30_000, 2, 40);

    /** Checks that no figure is negative. */
    public Tuning {
        if (reclaimAfterMillis < 0 || gangReserveAfterMillis < 0 || quarantineWindowMillis < 0) {
            throw new IllegalArgumentException("times must not be negative");
        }
        if (requestReserve.isNegative() || reservedSlots < 0) {
            throw new IllegalArgumentException("reserves must not be negative");
        }
        if (maxQueuedTotal < 1 || maxAttempts < 1 || quarantineFailures < 1) {
            throw new IllegalArgumentException(
                    "maxQueuedTotal, maxAttempts and quarantineFailures must be at least 1");
        }
        if (crossZoneCostMillis < 0
                || crossRegionCostMillis < 0
                || crossRegionCostPerMibMillis < 0) {
            throw new IllegalArgumentException("routing costs must not be negative");
        }
    }

    /** Returns figures with the default price of bytes across regions. */
    public Tuning(
            long reclaimAfterMillis,
            long gangReserveAfterMillis,
            Resources requestReserve,
            int reservedSlots,
            int maxQueuedTotal,
            int maxAttempts,
            int quarantineFailures,
            long quarantineWindowMillis,
            long crossZoneCostMillis,
            long crossRegionCostMillis) {
        this(
                reclaimAfterMillis,
                gangReserveAfterMillis,
                requestReserve,
                reservedSlots,
                maxQueuedTotal,
                maxAttempts,
                quarantineFailures,
                quarantineWindowMillis,
                crossZoneCostMillis,
                crossRegionCostMillis,
                DEFAULT_CROSS_REGION_COST_PER_MIB_MILLIS);
    }
}
