package org.jujubefork.core.jobs;

import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.membership.Freshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.JobId;

/**
 * Removes the records of jobs that ended long ago.
 *
 * <p>Each entry counts from the time at which it learned of the end, so that no clock of another
 * machine is needed; a cell of which all entries restart keeps records longer.
 */
final class JobRetention {
    /** How long the record of an ended job is kept, so that callers can ask for its result. */
    static final long RETENTION_MILLIS = 6 * 3_600_000L;

    /** Ended jobs that are kept at most, which bounds the memory that their records take. */
    static final int MAX_ENDED_JOBS = 10_000;

    /** Records that are removed in one tick. */
    static final int MAX_REMOVALS_PER_TICK = 5;

    /** Time after which a removal that had no effect is sent again. */
    static final long REMOVAL_RETRY_MILLIS = 60_000;

    private JobRetention() {}

    static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (int i = 0; i < MAX_REMOVALS_PER_TICK; i++) {
            JobTable table = result.state().jobs();
            if (table.endedByTime().isEmpty()) {
                return result;
            }
            TimedJob oldest = table.endedByTime().first();
            if (!table.records().containsKey(oldest.job())) {
                State known = result.state();
                result =
                        result.withState(
                                known.withJobs(
                                        table.withEndedByTime(table.endedByTime().minus(oldest))));
                continue;
            }
            boolean expired = state.nowMillis() - oldest.atMillis() >= RETENTION_MILLIS;
            if (!expired && table.endedByTime().size() <= MAX_ENDED_JOBS) {
                return result;
            }
            if (!Freshness.isStoreContactFresh(state) || !hasLowestLiveName(state)) {
                return result;
            }
            result = result.then(s -> remove(s, oldest));
        }
        return result;
    }

    private static Transition remove(State state, TimedJob oldest) {
        JobTable table = state.jobs();
        JobId job = oldest.job();
        StoredJob stored = table.records().get(job);
        TimedJob retry =
                new TimedJob(state.nowMillis() - RETENTION_MILLIS + REMOVAL_RETRY_MILLIS, job);
        return Transition.of(
                        state.withJobs(
                                table.withEndedByTime(
                                        table.endedByTime().minus(oldest).plus(retry))))
                .with(new StoreEffect.DeleteJob(stored.revision(), job));
    }

    /** Returns whether this entry is the live one with the lowest name; one entry removes. */
    private static boolean hasLowestLiveName(State state) {
        String own = state.self().id().name();
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member) && member.row().id().name().compareTo(own) < 0) {
                return false;
            }
        }
        return true;
    }
}
