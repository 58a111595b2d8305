package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The state that the scheduler of a shard keeps between events.
 *
 * @param recheckAll whether capacity was freed since all queued work was last tried
 * @param reservation the workers reserved for a gang
 * @param reclaimPausedUntilMillis time until which no more work is preempted for a lane, by lane
 * @param preemptedAtMillis when a task was last preempted, by job and index of the task
 * @param succeededAtMillis when a task last succeeded, by job or queue
 * @param learnedSizes learned task sizes by queue
 * @param drainRate the rate at which requests are started
 * @param blockedHeads heads of lanes that were tried and did not fit
 */
public record SchedulerState(
        boolean recheckAll,
        Optional<Reservation> reservation,
        PSortedMap<LaneKey, Long> reclaimPausedUntilMillis,
        PSortedMap<String, Long> preemptedAtMillis,
        PSortedMap<String, Long> succeededAtMillis,
        PSortedMap<QueueId, LearnedSize> learnedSizes,
        DrainRate drainRate,
        PSortedMap<LaneKey, BlockedHead> blockedHeads) {
    /** The state of a shard that was just claimed. */
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

    /**
     * Time after a success of a job or queue in which failures of its tasks are attributed to the
     * worker.
     */
    static final long SUCCESS_RETENTION_MILLIS = 600_000;

    /**
     * Minimum time between two records of success of one job or queue, so that not every request
     * updates the state.
     */
    static final long MIN_SUCCESS_UPDATE_INTERVAL_MILLIS = 60_000;

    /** How long a preempted task is protected from being preempted again. */
    static final long PREEMPTION_PROTECTION_MILLIS = 300_000;

    SchedulerState withRecheckAll(boolean value) {
        return value == recheckAll
                ? this
                : new SchedulerState(
                        value,
                        reservation,
                        reclaimPausedUntilMillis,
                        preemptedAtMillis,
                        succeededAtMillis,
                        learnedSizes,
                        drainRate,
                        blockedHeads);
    }

    SchedulerState withReservation(Optional<Reservation> value) {
        return new SchedulerState(
                recheckAll,
                value,
                reclaimPausedUntilMillis,
                preemptedAtMillis,
                succeededAtMillis,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withReclaimPausedUntil(LaneKey lane, long millis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntilMillis.plus(lane, millis),
                preemptedAtMillis,
                succeededAtMillis,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withPreempted(JobTask task, long nowMillis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntilMillis,
                preemptedAtMillis.plus(taskKey(task), nowMillis),
                succeededAtMillis,
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    SchedulerState withSuccess(String subject, long nowMillis) {
        Long lastMillis = succeededAtMillis.get(subject);
        return lastMillis != null && nowMillis - lastMillis < MIN_SUCCESS_UPDATE_INTERVAL_MILLIS
                ? this
                : new SchedulerState(
                        recheckAll,
                        reservation,
                        reclaimPausedUntilMillis,
                        preemptedAtMillis,
                        succeededAtMillis.plus(subject, nowMillis),
                        learnedSizes,
                        drainRate,
                        blockedHeads);
    }

    SchedulerState withPeak(QueueId queue, Resources peak, Resources declared) {
        LearnedSize learned = learnedSizes.getOrDefault(queue, LearnedSize.UNKNOWN);
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntilMillis,
                preemptedAtMillis,
                succeededAtMillis,
                learnedSizes.plus(queue, learned.plus(peak, declared)),
                drainRate,
                blockedHeads);
    }

    SchedulerState withDrainRate(DrainRate value) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntilMillis,
                preemptedAtMillis,
                succeededAtMillis,
                learnedSizes,
                value,
                blockedHeads);
    }

    SchedulerState withBlockedHeads(PSortedMap<LaneKey, BlockedHead> value) {
        return new SchedulerState(
                recheckAll,
                reservation,
                reclaimPausedUntilMillis,
                preemptedAtMillis,
                succeededAtMillis,
                learnedSizes,
                drainRate,
                value);
    }

    /** Returns the expected size of a task of {@code queue} that declares {@code declared}. */
    public Resources learnedSize(QueueId queue, Resources declared) {
        LearnedSize learned = learnedSizes.get(queue);
        return learned == null ? declared : learned.sizeFor(declared);
    }

    boolean hasSucceededLately(String subject, long nowMillis) {
        Long lastMillis = succeededAtMillis.get(subject);
        return lastMillis != null && nowMillis - lastMillis < SUCCESS_RETENTION_MILLIS;
    }

    boolean isProtectedFromPreemption(JobTask task, long nowMillis) {
        Long lastMillis = preemptedAtMillis.get(taskKey(task));
        return lastMillis != null && nowMillis - lastMillis < PREEMPTION_PROTECTION_MILLIS;
    }

    boolean isReclaimPaused(LaneKey lane, long nowMillis) {
        return reclaimPausedUntilMillis.getOrDefault(lane, Long.MIN_VALUE) > nowMillis;
    }

    /** Returns this state without times whose retention period has passed. */
    SchedulerState withoutExpiredEntries(long nowMillis) {
        return new SchedulerState(
                recheckAll,
                reservation,
                withoutExpired(reclaimPausedUntilMillis, nowMillis, 0),
                withoutExpired(preemptedAtMillis, nowMillis, PREEMPTION_PROTECTION_MILLIS),
                withoutExpired(succeededAtMillis, nowMillis, SUCCESS_RETENTION_MILLIS),
                learnedSizes,
                drainRate,
                blockedHeads);
    }

    private static <K> PSortedMap<K, Long> withoutExpired(
            PSortedMap<K, Long> times, long nowMillis, long retentionMillis) {
        PSortedMap<K, Long> retained = times;
        for (var keyAndTime : times.entrySet()) {
            if (keyAndTime.getValue() + retentionMillis <= nowMillis) {
                retained = retained.minus(keyAndTime.getKey());
            }
        }
        return retained;
    }

    private static String taskKey(JobTask task) {
        return task.job() + "/" + task.index();
    }
}
