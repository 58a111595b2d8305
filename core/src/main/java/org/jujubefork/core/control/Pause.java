package org.jujubefork.core.control;

import org.jujubefork.core.limits.ShardBudgets;

/** Detects that the process of this entry did not run for some time. */
final class Pause {
    /**
     * Minimum time without any event that counts as a pause. Ticks arrive several times a second,
     * so a running process never goes this long without a tick. A shorter gap is harmless, because
     * another entry takes over shards only after {@link Timing#deadAfterMillis()} without a
     * heartbeat.
     */
    static final long MIN_PAUSE_MILLIS = 2_000;

    private Pause() {}

    /**
     * Returns {@code state} unchanged if there was no pause just before {@code nowMillis}. After a
     * pause, returns a state in which answers from before the pause no longer count as evidence.
     *
     * <p>Missing heartbeats during a pause do not show that other entries failed, so the pause does
     * not count towards their timeouts. Earlier answers from the store and from other entries no
     * longer prove that the configuration is up to date, and this entry may have lost its shards.
     */
    static State discardStaleEvidence(State state, long nowMillis) {
        long elapsedMillis = nowMillis - state.nowMillis();
        if (elapsedMillis < MIN_PAUSE_MILLIS) {
            return state;
        }
        State resumed = state.withMembership(state.membership().afterPause(elapsedMillis));
        return ShardBudgets.afterPause(resumed, nowMillis);
    }
}
