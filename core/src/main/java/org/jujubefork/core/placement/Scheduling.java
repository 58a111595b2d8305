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
 * @param recheck whether room was made since all waiting work was last tried
 * @param reservation workers kept for a gang
 * @param reclaiming lanes for which work was preempted, and until when no more is
 * @param preempted tasks that were preempted, and when
 * @param succeeded jobs and queues of which a task succeeded lately, and when
 * @param learned sizes by experience
 * @param drain how fast requests are started
 * @param blocked heads of lanes that were tried and did not fit
 */
public record Scheduling(
        boolean recheck,
        Optional<Reservation> reservation,
        PSortedMap<LaneKey, Long> reclaiming,
        PSortedMap<String, Long> preempted,
        PSortedMap<String, Long> succeeded,
        PSortedMap<QueueId, LearnedSize> learned,
        DrainRate drain,
        PSortedMap<LaneKey, BlockedHead> blocked) {
    /** Nothing has happened yet. */
    public static final Scheduling INITIAL =
            new Scheduling(
                    false,
                    Optional.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    TreePMap.empty(),
                    DrainRate.UNKNOWN,
                    TreePMap.empty());

    /** How long the success of a job or queue shows that its failures are a worker's fault. */
    static final long PROVEN_MILLIS = 600_000;

    /** A success is noted again only after this time, to keep it off the path of each request. */
    static final long PROOF_INTERVAL_MILLIS = 60_000;

    /** How long a preempted task is not preempted again. */
    static final long PROTECTED_MILLIS = 300_000;

    Scheduling withRecheck(boolean value) {
        return value == recheck
                ? this
                : new Scheduling(
                        value,
                        reservation,
                        reclaiming,
                        preempted,
                        succeeded,
                        learned,
                        drain,
                        blocked);
    }

    Scheduling withReservation(Optional<Reservation> value) {
        return new Scheduling(
                recheck, value, reclaiming, preempted, succeeded, learned, drain, blocked);
    }

    Scheduling reclaimingUntil(LaneKey lane, long millis) {
        return new Scheduling(
                recheck,
                reservation,
                reclaiming.plus(lane, millis),
                preempted,
                succeeded,
                learned,
                drain,
                blocked);
    }

    Scheduling withPreempted(JobTask task, long nowMillis) {
        return new Scheduling(
                recheck,
                reservation,
                reclaiming,
                preempted.plus(subject(task), nowMillis),
                succeeded,
                learned,
                drain,
                blocked);
    }

    Scheduling withSuccess(String subject, long nowMillis) {
        Long known = succeeded.get(subject);
        return known != null && nowMillis - known < PROOF_INTERVAL_MILLIS
                ? this
                : new Scheduling(
                        recheck,
                        reservation,
                        reclaiming,
                        preempted,
                        succeeded.plus(subject, nowMillis),
                        learned,
                        drain,
                        blocked);
    }

    Scheduling withPeak(QueueId queue, Resources peak, Resources declared) {
        LearnedSize known = learned.getOrDefault(queue, LearnedSize.UNKNOWN);
        return new Scheduling(
                recheck,
                reservation,
                reclaiming,
                preempted,
                succeeded,
                learned.plus(queue, known.plus(peak, declared)),
                drain,
                blocked);
    }

    Scheduling withDrain(DrainRate value) {
        return new Scheduling(
                recheck, reservation, reclaiming, preempted, succeeded, learned, value, blocked);
    }

    Scheduling withBlocked(PSortedMap<LaneKey, BlockedHead> value) {
        return new Scheduling(
                recheck, reservation, reclaiming, preempted, succeeded, learned, drain, value);
    }

    /** Returns the size to expect of a task of {@code queue} that declares {@code declared}. */
    public Resources learnedSize(QueueId queue, Resources declared) {
        LearnedSize known = learned.get(queue);
        return known == null ? declared : known.of(declared);
    }

    boolean isProven(String subject, long nowMillis) {
        Long known = succeeded.get(subject);
        return known != null && nowMillis - known < PROVEN_MILLIS;
    }

    boolean isProtected(JobTask task, long nowMillis) {
        Long at = preempted.get(subject(task));
        return at != null && nowMillis - at < PROTECTED_MILLIS;
    }

    boolean isReclaiming(LaneKey lane, long nowMillis) {
        return reclaiming.getOrDefault(lane, Long.MIN_VALUE) > nowMillis;
    }

    /** Returns this without entries that no longer matter. */
    Scheduling pruned(long nowMillis) {
        return new Scheduling(
                recheck,
                reservation,
                without(reclaiming, nowMillis, 0),
                without(preempted, nowMillis, PROTECTED_MILLIS),
                without(succeeded, nowMillis, PROVEN_MILLIS),
                learned,
                drain,
                blocked);
    }

    private static <K> PSortedMap<K, Long> without(
            PSortedMap<K, Long> times, long nowMillis, long keptMillis) {
        PSortedMap<K, Long> kept = times;
        for (var entry : times.entrySet()) {
            if (entry.getValue() + keptMillis <= nowMillis) {
                kept = kept.minus(entry.getKey());
            }
        }
        return kept;
    }

    private static String subject(JobTask task) {
        return task.job() + "/" + task.index();
    }
}
