package org.jujubefork.core.jobs;

import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.JobId;

/**
 * Removes records of ended jobs from the store after a retention period.
 *
 * <p>Each entry measures the period from the time at which it learned that the job ended, so that
 * it does not depend on clocks of other machines. If all entries of a cell restart, records are
 * therefore kept longer.
 */
final class JobRetention {
    /** Retention period of the record of an ended job, in which callers can query its result. */
    static final long RETENTION_MILLIS = 6 * 3_600_000L;

    /** Maximum number of ended jobs that are retained; bounds the memory that their records use. */
    static final int MAX_ENDED_JOBS = 10_000;

    /** Maximum number of records that are removed in one tick. */
    static final int MAX_REMOVALS_PER_TICK = 5;

    /** Time after which the removal of a record that is still stored is retried. */
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
                State current = result.state();
                result =
                        result.withState(
                                current.withJobs(
                                        table.withEndedByTime(table.endedByTime().minus(oldest))));
                continue;
            }
            boolean isExpired = state.nowMillis() - oldest.atMillis() >= RETENTION_MILLIS;
            if (!isExpired && table.endedByTime().size() <= MAX_ENDED_JOBS) {
                return result;
            }
            if (!ConfigurationFreshness.isStoreContactFresh(state) || !hasLowestLiveName(state)) {
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

    /**
     * Returns whether this entry has the lowest name of all live entries. Only that entry removes
     * records, so that entries do not repeat the work.
     */
    private static boolean hasLowestLiveName(State state) {
        String ownName = state.self().id().name();
        for (Member member : state.membership().members().values()) {
            if (Membership.isAlive(state, member)
                    && member.row().id().name().compareTo(ownName) < 0) {
                return false;
            }
        }
        return true;
    }
}
