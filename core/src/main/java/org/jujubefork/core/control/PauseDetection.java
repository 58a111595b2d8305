package org.jujubefork.core.control;

import org.jujubefork.core.limits.Budgets;

/** Recognises that this entry did not run for a while. */
final class PauseDetection {
    /**
     * Time without any event that counts as a pause. Ticks come several times a second, and another
     * entry takes over only after a silence of {@link Timing#deadAfterMillis()}.
     */
    static final long MIN_PAUSE_MILLIS = 2_000;

    private PauseDetection() {}

    /**
     * Returns {@code state} without the evidence that was gathered before a pause, if the entry was
     * paused until {@code nowMillis}.
     *
     * <p>Time that passed during a pause says nothing about other entries, so their silence is
     * counted anew. Answers of the store and of other entries prove nothing about the time after
     * them, and shards may have been lost.
     */
    static State discardStaleEvidence(State state, long nowMillis) {
        long elapsedMillis = nowMillis - state.nowMillis();
        if (elapsedMillis < MIN_PAUSE_MILLIS) {
            return state;
        }
        State resumed = state.withMembership(state.membership().resumed(elapsedMillis));
        return Budgets.resumed(resumed, nowMillis);
    }
}
