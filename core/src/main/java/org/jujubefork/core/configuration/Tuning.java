package org.jujubefork.core.configuration;

import org.jujubefork.core.model.Resources;

/**
 * Parameters that operators may change while the system runs.
 *
 * @param reclaimAfterMillis how long a team below its fair share waits before work of other teams
 *     is checkpointed to make capacity available
 * @param gangReserveAfterMillis how long a gang job waits before it reserves capacity on workers
 * @param requestReserve resources of each worker that only urgent requests may use
 * @param reservedSlots number of request slots of each worker that only urgent requests may use
 * @param maxQueuedTotal maximum number of requests and tasks of all queues that may wait in one
 *     shard
 * @param maxAttempts maximum number of attempts to run a task of a job
 * @param quarantineFailures number of different tasks whose failure on a worker within {@code
 *     quarantineWindowMillis} quarantines the worker
 * @param quarantineWindowMillis time window for {@code quarantineFailures}, in milliseconds
 * @param crossZoneCostMillis cost of routing a request to another availability zone of the region,
 *     expressed as queueing time in milliseconds
 * @param crossRegionCostMillis cost of routing a request to another region, expressed as queueing
 *     time in milliseconds
 * @param crossRegionCostPerMibMillis additional cost of each MiB that is sent to another region,
 *     expressed as queueing time in milliseconds
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
    /** Default of {@code crossRegionCostPerMibMillis}. */
    public static final long DEFAULT_CROSS_REGION_COST_PER_MIB_MILLIS = 100;

    /** The values that apply to parameters that the configuration does not set. */
    public static final Tuning DEFAULT =
            new Tuning(
                    30_000, 10_000, Resources.of(1_000, 1_024, 0), 2, 20_000, 3, 5, 30_000, 2, 40);

    /** Checks that times, reserves and costs are not negative and that counts are at least 1. */
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

    /** Creates parameters with {@link #DEFAULT_CROSS_REGION_COST_PER_MIB_MILLIS}. */
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
