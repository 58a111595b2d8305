package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What the scheduler of a shard remembers between events.
 *
 * @param recheckAll whether room was made since all waiting work was last tried
 * @param reservation workers kept for a gang
 * @param reclaimPausedUntil lanes for which work was preempted, and until when no more is
 * @param preemptedAt tasks that were preempted, and when
 * @param succeededAt jobs and queues of which a task succeeded lately, and when
 * @param learnedSizes sizes by experience
 * @param drainRate how fast requests are started
 * @param blockedHeads heads of lanes that were tried and did not fit
 */
public record SchedulerState(
        boolean recheckAll,
        Optional<Reservation> reservation,
        PSortedMap<LaneKey, Long> reclaimPausedUntil,
        PSortedMap<String, Long> preemptedAt,
        PSortedMap<String, Long> succeededAt,
        PSortedMap<QueueId, LearnedSize> learnedSizes,
        DrainRate drainRate,
        PSortedMap<LaneKey, BlockedHead> blockedHeads) {
    /** Nothing has happened yet. */
    public static final SchedulerState INITIAL =
            new SchedulerState(
                    false,
                    Optional.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    DrainRate.UNKNOWN,
                    TreePMap.empty());

    /** How long the success of a job or queue shows that its failures are a worker's fault. */
    static final long SUCCESS_RETENTION_MILLIS = 600_000;

    /** A success is noted again only after this time, to keep it off the path of each request. */
    static final long MIN_SUCCESS_UPDATE_INTERVAL_MILLIS = 60_000;

    /** How long a preempted task is not preempted again. */
    static final long PREEMPTION_PROTECTION_MILLIS = 300_000;

    SchedulerState withRecheckAll(boolean value) {
        return value == recheckAll
                ? this
                : new SchedulerState(
                        value,
                        reservation,
                        reclaimPausedUntil,
                        preemptedAt,
                        succeededAt,
                        learnedSizes,
                        drainRate,
                        blockedHeads);
    }

    SchedulerState withReservation(Optional<Reservation> value) {
        return new SchedulerState(
                recheckAll,
                value,
                reclaimPausedUntil,
                preemptedAt,
                succeededAt,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withReclaimPausedUntil(LaneKey lane, long millis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntil.plus(lane, millis),
                preemptedAt,
                succeededAt,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withPreempted(JobTask task, long nowMillis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntil,
                preemptedAt.plus(taskKey(task), nowMillis),
                succeededAt,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withSuccess(String subject, long nowMillis) {
        Long lastMillis = succeededAt.get(subject);
        return lastMillis != null && nowMillis - lastMillis < MIN_SUCCESS_UPDATE_INTERVAL_MILLIS
                ? this
                : new SchedulerState(
                        recheckAll,
                        reservation,
                        reclaimPausedUntil,
                        preemptedAt,
                        succeededAt.plus(subject, nowMillis),
                        learnedSizes,
                        drainRate,
                        blockedHeads);
    }

    SchedulerState withPeak(QueueId queue, Resources peak, Resources declared) {
        LearnedSize known = learnedSizes.getOrDefault(queue, LearnedSize.UNKNOWN);
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntil,
                preemptedAt,
                succeededAt,
                learnedSizes.plus(queue, known.plus(peak, declared)),
                drainRate,
                blockedHeads);
    }

    SchedulerState withDrainRate(DrainRate value) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntil,
                preemptedAt,
                succeededAt,
                learnedSizes,
                value,
                blockedHeads);
    }

    SchedulerState withBlockedHeads(PSortedMap<LaneKey, BlockedHead> value) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntil,
                preemptedAt,
                succeededAt,
                learnedSizes,
                drainRate,
                value);
    }

    /** Returns the size to expect of a task of {@code queue} that declares {@code declared}. */
    public Resources learnedSize(QueueId queue, Resources declared) {
        LearnedSize known = learnedSizes.get(queue);
        return known == null ? declared : known.sizeFor(declared);
    }

    boolean hasSucceededLately(String subject, long nowMillis) {
        Long lastMillis = succeededAt.get(subject);
        return lastMillis != null && nowMillis - lastMillis < SUCCESS_RETENTION_MILLIS;
    }

    boolean isProtectedFromPreemption(JobTask task, long nowMillis) {
        Long lastMillis = preemptedAt.get(taskKey(task));
        return lastMillis != null && nowMillis - lastMillis < PREEMPTION_PROTECTION_MILLIS;
    }

    boolean isReclaimPaused(LaneKey lane, long nowMillis) {
        return reclaimPausedUntil.getOrDefault(lane, Long.MIN_VALUE) > nowMillis;
    }

    /** Returns this without entries that no longer matter. */
    SchedulerState withoutExpiredEntries(long nowMillis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                withoutExpired(reclaimPausedUntil, nowMillis, 0),
                withoutExpired(preemptedAt, nowMillis, PREEMPTION_PROTECTION_MILLIS),
                withoutExpired(succeededAt, nowMillis, SUCCESS_RETENTION_MILLIS),
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    private static <K> PSortedMap<K, Long> withoutExpired(
            PSortedMap<K, Long> times, long nowMillis, long retentionMillis) {
        PSortedMap<K, Long> retained = times;
        for (var entry : times.entrySet()) {
            if (entry.getValue() + retentionMillis <= nowMillis) {
                retained = retained.minus(entry.getKey());
            }
        }
        return retained;
    }

    private static String taskKey(JobTask task) {
        return task.job() + "/" + task.index();
    }
}
