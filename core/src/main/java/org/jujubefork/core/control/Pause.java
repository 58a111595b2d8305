package org.jujubefork.core.control;

import org.jujubefork.core.limits.ShardBudgets;

/** Recognises that this entry did not run for a while. */
final class Pause {
    /**
     * Time without any event that counts as a pause. Ticks come several times a second, and another
     * entry takes over only after a silence of {@link Timing#deadAfterMillis()}.
     */
    static final long LIMIT_MILLIS = 2_000;

    private Pause() {}

    /**
     * Returns {@code state} without the evidence that was gathered before a pause, if the entry was
     * paused until {@code nowMillis}.
     *
     * <p>Time that passed during a pause says nothing about other entries, so their silence is
     * counted anew. Answers of the store and of other entries prove nothing about the time after
     * them, and shards may have been lost.
     */
    static State note(State state, long nowMillis) {
        long gap = nowMillis - state.nowMillis();
        if (gap < LIMIT_MILLIS) {
            return state;
        }
        State unproven = state.withMembership(state.membership().afterPause(gap));
        return ShardBudgets.afterPause(unproven, nowMillis);
    }
}
