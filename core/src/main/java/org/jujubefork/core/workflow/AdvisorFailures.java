package org.jujubefork.core.workflow;

import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The entries whose newest request to the advice service has failed. An entry that fails its
 * requests at once, for example because the service refuses its machine, is never loaded. Without
 * this record it would be the first choice for every request.
 *
 * @param byAdvisor the failures since the last answered request, by entry
 */
public record AdvisorFailures(PMap<String, Failures> byAdvisor) {
    /** No entry has failed. */
    public static final AdvisorFailures NONE = new AdvisorFailures(HashTreePMap.empty());

    /** How long an entry is avoided after its first failure. */
    static final long MIN_AVOIDANCE_MILLIS = 500;

    /**
     * Maximum time for which an entry is avoided. It bounds how long an entry that works again
     * stays unused.
     */
    static final long MAX_AVOIDANCE_MILLIS = 8_000;

    /**
     * The failures of one entry.
     *
     * @param count the number of failures since the last answered request
     * @param avoidedUntil until when the entry gets requests only if all entries are avoided, in
     *     milliseconds of the monotonic clock
     */
    public record Failures(int count, long avoidedUntil) {}

    /** Returns a copy after a request of {@code advisor} has failed at {@code now}. */
    AdvisorFailures withFailure(String advisor, long now) {
        Failures previous = byAdvisor.get(advisor);
        int count = previous == null ? 1 : previous.count() + 1;
        return new AdvisorFailures(
                byAdvisor.plus(advisor, new Failures(count, now + avoidanceMillis(count))));
    }

    /** Returns how long an entry is avoided after {@code count} failures; doubles with each. */
    static long avoidanceMillis(int count) {
        long millis = MIN_AVOIDANCE_MILLIS;
        for (int i = 1; i < count && millis < MAX_AVOIDANCE_MILLIS; i++) {
            millis *= 2;
        }
        return Math.min(millis, MAX_AVOIDANCE_MILLIS);
    }

    /** Returns a copy after a request of {@code advisor} was answered. */
    AdvisorFailures withSuccess(String advisor) {
        return byAdvisor.containsKey(advisor)
                ? new AdvisorFailures(byAdvisor.minus(advisor))
                : this;
    }

    /** Returns a copy without the failures of entries that are not among {@code advisors}. */
    AdvisorFailures retaining(Set<String> advisors) {
        PMap<String, Failures> retained = byAdvisor;
        for (String advisor : byAdvisor.keySet()) {
            retained = advisors.contains(advisor) ? retained : retained.minus(advisor);
        }
        return new AdvisorFailures(retained);
    }

    /** Returns whether the newest request of {@code advisor} has failed. */
    boolean hasFailed(String advisor) {
        return byAdvisor.containsKey(advisor);
    }

    /** Returns until when {@code advisor} is avoided, 0 if it has not failed. */
    long avoidedUntil(String advisor) {
        Failures failures = byAdvisor.get(advisor);
        return failures == null ? 0 : failures.avoidedUntil();
    }
}
