package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Requests to the advice service. The service processes the requests of one entry VM sequentially,
 * so the leader spreads them over all entries that it can reach.
 *
 * @param advisors the names of the entries that can send requests to the service
 * @param pending the requests that have not been sent yet
 * @param inFlight the requests that were sent and have not been answered yet, by number
 * @param nextNumber the number of the next request that is sent
 * @param yields how many of the named workers may run the steps of each queue
 * @param failures the entries whose newest request has failed
 * @param overdueShare how soon an overdue request goes before more urgent ones
 */
public record AdviceRequests(
        PSet<String> advisors,
        PVector<AdviceRequest> pending,
        PMap<Long, InFlightRequest> inFlight,
        long nextNumber,
        AdviceYields yields,
        AdvisorFailures failures,
        OverdueShare overdueShare) {
    /**
     * Requests that cost at most this are short. A longer request blocks its entry, so short ones
     * are sent through other entries.
     */
    static final long MAX_SHORT_REQUEST_MILLIS = 60;

    /** Requests that cost more than this are long; those between the two limits are medium. */
    static final long MAX_MEDIUM_REQUEST_MILLIS = 240;

    /**
     * Maximum number of short requests that one entry has in flight. The second request hides the
     * network latency of the first.
     */
    static final int MAX_SHORT_REQUESTS_PER_ADVISOR = 2;

    /** Why tickets are requested; the most urgent purpose first. */
    enum Purpose {
        /** Tickets expire; the capacity is allocated already and stays idle until the answer. */
        RENEWAL,
        /** The step has no tickets yet, so none of its tasks can start. */
        FIRST,
        /** The step does not fit on the workers for which it has tickets. */
        FURTHER
    }

    /**
     * A request for tickets.
     *
     * @param step the step
     * @param workers the workers for which tickets are requested
     * @param rank the rank of the step when the request was queued
     * @param priority the priority of its queue, 0 is the most urgent
     * @param delayCost the cost of delaying the step
     * @param purpose why the tickets are requested
     * @param costMillis the time that the service needs to process the request
     * @param queuedAt when the request was queued, in milliseconds of the monotonic clock
     */
    public record AdviceRequest(
            StepKey step,
            List<String> workers,
            Urgency.Rank rank,
            int priority,
            DelayCost delayCost,
            Purpose purpose,
            long costMillis,
            long queuedAt) {
        /** Copies the candidates. */
        public AdviceRequest {
            workers = List.copyOf(workers);
        }

        /** Returns a copy that names {@code other} for {@code otherPurpose}. */
        AdviceRequest with(List<String> other, Purpose otherPurpose, long otherCostMillis) {
            return new AdviceRequest(
                    step,
                    other,
                    rank,
                    priority,
                    delayCost,
                    otherPurpose,
                    otherCostMillis,
                    queuedAt);
        }

        boolean isShort() {
            return costMillis <= MAX_SHORT_REQUEST_MILLIS;
        }

        boolean isLong() {
            return costMillis > MAX_MEDIUM_REQUEST_MILLIS;
        }

        /** Returns whether the request has been queued for so long that it must not wait on. */
        boolean isOverdue(long now) {
            return now - queuedAt >= OverdueShare.OVERDUE_MILLIS;
        }
    }

    /**
     * A request that was sent.
     *
     * @param advisor the entry that sends it
     * @param request the request
     * @param sentAt when it was sent, in milliseconds of the monotonic clock
     * @param incarnations the incarnation of each named worker when it was sent, because a refusal
     *     holds for one incarnation; 0 if it was not known
     */
    public record InFlightRequest(
            String advisor, AdviceRequest request, long sentAt, Map<String, Long> incarnations) {
        /** Copies the incarnations. */
        public InFlightRequest {
            incarnations = Map.copyOf(incarnations);
        }
    }

    /** Returns an instance without requests, with {@code entry} as the only advisor. */
    public static AdviceRequests of(String entry) {
        return new AdviceRequests(
                HashTreePSet.singleton(entry),
                TreePVector.empty(),
                HashTreePMap.empty(),
                1,
                AdviceYields.NONE,
                AdvisorFailures.NONE,
                OverdueShare.NONE);
    }

    /**
     * Returns a copy with {@code other} as the advisors. The requests in flight at an entry that is
     * not among them are pending again, before the others, because their answers cannot arrive any
     * more.
     */
    public AdviceRequests withAdvisors(PSet<String> other) {
        PVector<AdviceRequest> newPending = pending;
        PMap<Long, InFlightRequest> newInFlight = inFlight;
        for (long number : inFlight.keySet()) {
            if (!other.contains(inFlight.get(number).advisor())) {
                newPending = newPending.plus(0, inFlight.get(number).request());
                newInFlight = newInFlight.minus(number);
            }
        }
        return new AdviceRequests(
                other,
                newPending,
                newInFlight,
                nextNumber,
                yields,
                failures.retaining(other),
                overdueShare);
    }

    /** Returns a copy without pending and in-flight requests, and without failures. */
    public AdviceRequests cleared() {
        return new AdviceRequests(
                advisors,
                TreePVector.empty(),
                HashTreePMap.empty(),
                nextNumber,
                yields,
                AdvisorFailures.NONE,
                OverdueShare.NONE);
    }

    /** Returns a copy with {@code request} pending. */
    public AdviceRequests withPending(AdviceRequest request) {
        return new AdviceRequests(
                advisors,
                pending.plus(request),
                inFlight,
                nextNumber,
                yields,
                failures,
                overdueShare);
    }

    /** Returns a copy in which {@code request} is not pending. */
    public AdviceRequests withoutPending(AdviceRequest request) {
        return new AdviceRequests(
                advisors,
                pending.minus(request),
                inFlight,
                nextNumber,
                yields,
                failures,
                overdueShare);
    }

    /** Returns a copy with {@code sent} in flight. */
    public AdviceRequests withInFlight(InFlightRequest sent) {
        return new AdviceRequests(
                advisors,
                pending,
                inFlight.plus(nextNumber, sent),
                nextNumber + 1,
                yields,
                failures,
                overdueShare);
    }

    /** Returns a copy with {@code other} as the share of overdue requests. */
    AdviceRequests with(OverdueShare other) {
        return new AdviceRequests(advisors, pending, inFlight, nextNumber, yields, failures, other);
    }

    /** Returns a copy with {@code other} as the learned yields. */
    public AdviceRequests withYields(AdviceYields other) {
        return new AdviceRequests(
                advisors, pending, inFlight, nextNumber, other, failures, overdueShare);
    }

    /**
     * Returns a copy in which the request {@code number}, which is in flight, has completed.
     *
     * @param answered whether the advice service has answered it
     * @param now when it has completed
     */
    public AdviceRequests withCompleted(long number, boolean answered, long now) {
        String advisor = inFlight.get(number).advisor();
        return new AdviceRequests(
                advisors,
                pending,
                inFlight.minus(number),
                nextNumber,
                yields,
                answered ? failures.withSuccess(advisor) : failures.withFailure(advisor, now),
                overdueShare);
    }
}
