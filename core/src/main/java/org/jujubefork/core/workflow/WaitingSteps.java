package org.jujubefork.core.workflow;

import java.util.Map;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The steps that had tasks to start when the last placement pass ended, and why they wait. Times
 * are in milliseconds of the monotonic clock.
 *
 * @param steps the waits of the steps
 * @param byReason the totals of each reason that applies to a step
 * @param longest the step that has waited longest
 * @param reservedWorkers the number of workers that the pass reserved for gangs
 * @param loggedAt when the last log line about waiting steps was written
 * @param failuresLoggedAt when the last line about a placement failure was written, by job or step,
 *     of those whose next line is not due yet
 */
public record WaitingSteps(
        Map<StepKey, Wait> steps,
        Map<WaitReason, Total> byReason,
        Optional<StepKey> longest,
        int reservedWorkers,
        long loggedAt,
        PMap<String, Long> failuresLoggedAt) {
    /** No step waits. */
    public static final WaitingSteps NONE =
            new WaitingSteps(Map.of(), Map.of(), Optional.empty(), 0, 0, HashTreePMap.empty());

    /**
     * The wait of a step.
     *
     * @param reason why it waits
     * @param since since when it has waited without the start of one of its tasks, as seen by the
     *     passes of this term
     * @param openTasks the number of its tasks that wait or are assigned
     */
    public record Wait(WaitReason reason, long since, int openTasks) {}

    /**
     * The steps that wait for the same reason.
     *
     * @param count their number
     * @param since since when the one that has waited longest has waited
     */
    public record Total(int count, long since) {
        /** The total of no steps. */
        static final Total NONE = new Total(0, Long.MAX_VALUE);

        /** Returns a copy that includes a step that has waited since {@code otherSince}. */
        Total with(long otherSince) {
            return new Total(count + 1, Math.min(since, otherSince));
        }
    }

    /** Returns a copy with {@code at} as the time of the last log line. */
    WaitingSteps withLoggedAt(long at) {
        return new WaitingSteps(steps, byReason, longest, reservedWorkers, at, failuresLoggedAt);
    }
}
