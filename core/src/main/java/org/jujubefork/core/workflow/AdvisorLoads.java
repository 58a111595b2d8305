package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;

/**
 * Tracks how many advice requests each entry has in flight while pending requests are assigned to
 * entries. Mutable; used on the control thread for one round of assignments only.
 */
final class AdvisorLoads {
    /** Number of entries that are kept free of long requests, if there are enough entries. */
    private static final int MIN_ENTRIES_WITHOUT_LONG_REQUEST = 4;

    /** Part of the entries that is kept free of long requests in a large cell. */
    private static final int SHARE_WITHOUT_LONG_REQUEST_DENOMINATOR = 4;

    /**
     * Number of requests in flight at an entry whose newest request has failed. One is enough to
     * find out whether the entry works again.
     */
    private static final int MAX_REQUESTS_AFTER_FAILURE = 1;

    /** The requests that one entry has in flight, and how many it may have. */
    private record Load(
            int requestCount, boolean hasBlockingRequest, long totalMillis, int maxRequestCount) {
        static Load none(int maxRequestCount) {
            return new Load(0, false, 0, maxRequestCount);
        }

        Load plus(AdviceRequest request) {
            return new Load(
                    requestCount + 1,
                    hasBlockingRequest || !request.isShort(),
                    totalMillis + request.costMillis(),
                    maxRequestCount);
        }

        boolean isFull() {
            return hasBlockingRequest || requestCount >= maxRequestCount;
        }

        Load closed() {
            return new Load(requestCount, hasBlockingRequest, totalMillis, 0);
        }

        /**
         * Returns whether the entry can accept {@code request}. One that is not short needs an
         * entry without other requests, which it would delay.
         */
        boolean canAccept(AdviceRequest request) {
            return !isFull() && (request.isShort() || requestCount == 0);
        }
    }

    private final long now;
    private final Map<String, Load> loads = new TreeMap<>();
    private final AdvisorFailures failures;

    /** The entries that have not failed; all entries if each of them has failed. */
    private final Set<String> reliableAdvisors;

    /** The number of medium and long requests in flight; each of them blocks its entry. */
    private int blockingRequestCount;

    private int longRequestCount;

    private AdvisorLoads(AdviceRequests requests, long now) {
        this.now = now;
        this.failures = requests.failures();
        Set<String> withoutFailure =
                requests.advisors().stream()
                        .filter(a -> !failures.hasFailed(a))
                        .collect(Collectors.toSet());
        this.reliableAdvisors = withoutFailure.isEmpty() ? requests.advisors() : withoutFailure;
    }

    /** Returns the loads of the entries at {@code now}. */
    static AdvisorLoads of(AdviceRequests requests, long now) {
        AdvisorLoads result = new AdvisorLoads(requests, now);
        boolean areAllAvoided = requests.advisors().stream().allMatch(result::isAvoided);
        for (String advisor : requests.advisors()) {
            boolean isClosed = result.isAvoided(advisor) && !areAllAvoided;
            result.loads.put(advisor, Load.none(isClosed ? 0 : result.maxRequestCount(advisor)));
        }
        for (InFlightRequest inFlight : requests.inFlight().values()) {
            result.add(inFlight.advisor(), inFlight.request());
        }
        return result;
    }

    private boolean isAvoided(String advisor) {
        return failures.avoidedUntil(advisor) > now;
    }

    private int maxRequestCount(String advisor) {
        return failures.hasFailed(advisor)
                ? MAX_REQUESTS_AFTER_FAILURE
                : AdviceRequests.MAX_SHORT_REQUESTS_PER_ADVISOR;
    }

    private void add(String advisor, AdviceRequest request) {
        loads.computeIfPresent(advisor, (a, l) -> l.plus(request));
        if (reliableAdvisors.contains(advisor)) {
            blockingRequestCount += request.isShort() ? 0 : 1;
            longRequestCount += request.isLong() ? 1 : 0;
        }
    }

    /** Returns whether every entry is fully loaded, so that none can accept a request. */
    boolean isFull() {
        return loads.values().stream().allMatch(Load::isFull);
    }

    /**
     * Returns how many of {@code entryCount} entries may have a long request in flight that is not
     * overdue: half of a few entries, three quarters of many.
     */
    static int maxLongRequestCount(int entryCount) {
        return Math.max(1, entryCount - entriesWithoutLongRequest(entryCount));
    }

    /**
     * Returns how many of {@code entryCount} entries may have a medium or long request in flight.
     * Half of the entries that are kept free of long requests are kept free of medium ones as well,
     * so that neither waits behind what takes many times as long.
     */
    static int maxBlockingRequestCount(int entryCount) {
        int entriesForShortRequests = (entriesWithoutLongRequest(entryCount) + 1) / 2;
        return Math.max(1, entryCount - entriesForShortRequests);
    }

    private static int entriesWithoutLongRequest(int entryCount) {
        return Math.max(
                Math.min(MIN_ENTRIES_WITHOUT_LONG_REQUEST, entryCount / 2),
                entryCount / SHARE_WITHOUT_LONG_REQUEST_DENOMINATOR);
    }

    private boolean isWithinLimit(AdviceRequest request) {
        int entryCount = reliableAdvisors.size();
        return request.isShort()
                || (blockingRequestCount < maxBlockingRequestCount(entryCount)
                        && (!request.isLong()
                                || request.isOverdue(now)
                                || longRequestCount < maxLongRequestCount(entryCount)));
    }

    /**
     * Keeps one entry free of further requests in this round if {@code request} could be sent but
     * every entry has another request in flight. Otherwise short requests, of which an entry
     * carries out two, would keep a longer one from ever being sent.
     */
    void holdEntryFor(AdviceRequest request) {
        if (isWithinLimit(request) && !canAssign(request)) {
            loads.keySet().stream()
                    .filter(a -> loads.get(a).maxRequestCount() > 0)
                    .min(Comparator.comparingLong(a -> loads.get(a).totalMillis()))
                    .ifPresent(a -> loads.computeIfPresent(a, (name, l) -> l.closed()));
        }
    }

    /** Returns whether an entry can accept {@code request}. */
    boolean canAssign(AdviceRequest request) {
        return advisorFor(request).isPresent();
    }

    /**
     * Assigns {@code request} to the least loaded entry that can accept it; to an entry whose
     * newest request has failed only if no other entry can. Returns the name of that entry, or
     * empty if no entry can accept the request.
     */
    Optional<String> assign(AdviceRequest request) {
        Optional<String> advisor = advisorFor(request);
        advisor.ifPresent(a -> add(a, request));
        return advisor;
    }

    private Optional<String> advisorFor(AdviceRequest request) {
        boolean isWithinLimit = isWithinLimit(request);
        // The limit keeps reliable entries free. It does not hold for the others, or an entry that
        // works again would get no request where all requests are long.
        return loads.keySet().stream()
                .filter(a -> isWithinLimit || !reliableAdvisors.contains(a))
                .filter(a -> loads.get(a).canAccept(request))
                .min(
                        Comparator.comparingLong(failures::avoidedUntil)
                                .thenComparingLong(a -> loads.get(a).totalMillis()));
    }
}
