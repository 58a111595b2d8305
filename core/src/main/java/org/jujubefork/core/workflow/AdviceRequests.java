package org.jujubefork.core.workflow;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Calls to the advice service. It handles the calls of one VM one after the other, so that the
 * leader spreads them over all entries that it can reach.
 *
 * @param advisors the entries that can ask
 * @param pending calls that wait
 * @param inFlight calls under way, by step
 */
public record AdviceRequests(
        PSet<String> advisors,
        PVector<AdviceRequest> pending,
        PMap<StepKey, InFlightRequest> inFlight) {
    /** A call that takes longer keeps its entry busy so long that urgent calls go elsewhere. */
    static final long LONG_REQUEST_MILLIS = 60;

    /** The most short calls of one entry at the same time; the second covers the way there. */
    static final int MAX_SHORT_REQUESTS_PER_ADVISOR = 2;

    /**
     * A call that waits.
     *
     * @param step the step
     * @param workers the candidates
     * @param rank the rank of the step when the call was queued
     * @param priority the priority of its queue, 0 is the most urgent
     * @param renewal whether room is reserved until the answer
     * @param costMillis the time that the service takes
     */
    public record AdviceRequest(
            StepKey step,
            List<String> workers,
            Urgency.Rank rank,
            int priority,
            boolean renewal,
            long costMillis) {
        /** Copies the candidates. */
        public AdviceRequest {
            workers = List.copyOf(workers);
        }

        boolean isLong() {
            return costMillis > LONG_REQUEST_MILLIS;
        }
    }

    /**
     * A call under way.
     *
     * @param advisor the entry that asks
     * @param request what is asked
     */
    public record InFlightRequest(String advisor, AdviceRequest request) {}

    /** Returns a desk at which only {@code entry} can ask. */
    public static AdviceRequests of(String entry) {
        return new AdviceRequests(
                HashTreePSet.singleton(entry), TreePVector.empty(), HashTreePMap.empty());
    }

    /** Returns this with other advisors. */
    public AdviceRequests withAdvisors(PSet<String> other) {
        return new AdviceRequests(other, pending, inFlight);
    }

    /** Returns this without calls. */
    public AdviceRequests cleared() {
        return new AdviceRequests(advisors, TreePVector.empty(), HashTreePMap.empty());
    }

    /** Returns this with {@code request} queued. */
    public AdviceRequests withPending(AdviceRequest request) {
        return new AdviceRequests(advisors, pending.plus(request), inFlight);
    }

    /** Returns this with {@code request} under way at {@code advisor}. */
    public AdviceRequests withInFlight(AdviceRequest request, String advisor) {
        return new AdviceRequests(
                advisors,
                pending.minus(request),
                inFlight.plus(request.step(), new InFlightRequest(advisor, request)));
    }

    /** Returns this with the call about {@code step} ended. */
    public AdviceRequests withoutInFlight(StepKey step) {
        return new AdviceRequests(advisors, pending, inFlight.minus(step));
    }
}
