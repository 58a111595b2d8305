package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;

/**
 * Tracks how many advice requests each entry has in flight while pending requests are assigned to
 * entries. Mutable; used on the control thread for one round of assignments only.
 */
final class AdvisorLoads {
    /** Number of entries that are kept free of long requests, if there are enough entries. */
    private static final int MIN_ENTRIES_FOR_SHORT_REQUESTS = 4;

    /** Part of the entries that is kept free of long requests in a large cell. */
    private static final int SHORT_REQUEST_SHARE_DENOMINATOR = 4;

    /** The requests that one entry has in flight. */
    private record Load(int requestCount, boolean hasLongRequest, long totalMillis) {
        static final Load NONE = new Load(0, false, 0);

        Load plus(AdviceRequest request) {
            return new Load(
                    requestCount + 1,
                    hasLongRequest || request.isLong(),
                    totalMillis + request.costMillis());
        }

        boolean canAccept(AdviceRequest request) {
            return request.isLong()
                    ? requestCount == 0
                    : !hasLongRequest
                            && requestCount < AdviceRequests.MAX_SHORT_REQUESTS_PER_ADVISOR;
        }
    }

    private final Map<String, Load> loads = new TreeMap<>();
    private int longRequestCount;

    private AdvisorLoads() {}

    static AdvisorLoads of(AdviceRequests requests) {
        AdvisorLoads result = new AdvisorLoads();
        requests.advisors().forEach(a -> result.loads.put(a, Load.NONE));
        for (InFlightRequest inFlight : requests.inFlight().values()) {
            result.longRequestCount += inFlight.request().isLong() ? 1 : 0;
            result.loads.computeIfPresent(inFlight.advisor(), (a, l) -> l.plus(inFlight.request()));
        }
        return result;
    }

    /** Returns whether every entry is fully loaded, so that none can accept a request. */
    boolean isFull() {
        return loads.values().stream()
                .allMatch(
                        l ->
                                l.hasLongRequest()
                                        || l.requestCount()
                                                >= AdviceRequests.MAX_SHORT_REQUESTS_PER_ADVISOR);
    }

    /**
     * Returns how many of {@code entryCount} entries may have a long request in flight: half of a
     * few entries, three quarters of many.
     */
    static int maxLongRequestCount(int entryCount) {
        int reserved =
                Math.max(
                        Math.min(MIN_ENTRIES_FOR_SHORT_REQUESTS, entryCount / 2),
                        entryCount / SHORT_REQUEST_SHARE_DENOMINATOR);
        return Math.max(1, entryCount - reserved);
    }

    /**
     * Assigns {@code request} to the least loaded entry that can accept it. Returns the name of
     * that entry, or empty if no entry can accept the request.
     */
    Optional<String> assign(AdviceRequest request) {
        if (request.isLong() && longRequestCount >= maxLongRequestCount(loads.size())) {
            return Optional.empty();
        }
        Optional<String> advisor =
                loads.keySet().stream()
                        .filter(a -> loads.get(a).canAccept(request))
                        .min(Comparator.comparingLong(a -> loads.get(a).totalMillis()));
        advisor.ifPresent(
                a -> {
                    loads.compute(a, (name, l) -> l.plus(request));
                    longRequestCount += request.isLong() ? 1 : 0;
                });
        return advisor;
    }
}
