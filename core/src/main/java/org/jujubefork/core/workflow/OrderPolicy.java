package org.jujubefork.core.workflow;

import java.util.Optional;
import java.util.function.Function;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * An order of waiting work. The same order decides which step is placed next, which step asks for
 * advice next, how much capacity other work leaves free, and which job is admitted.
 *
 * @param waiting the order in which steps are placed
 * @param requests the order in which advice requests are sent
 * @param reserve how much capacity must be free before a step may use it
 * @param admission which jobs are accepted
 * @param value the value of a step for log events, in milliseconds relative to the present time;
 *     empty if the order has no values
 */
record OrderPolicy(
        WaitingOrder waiting,
        RequestOrder requests,
        FreeReserve reserve,
        AdmissionRule admission,
        Function<Candidate, Optional<Long>> value) {
    /** Rank, priority, then time of acceptance. */
    static final OrderPolicy ACCEPTANCE =
            new OrderPolicy(
                    Urgency.byUrgency()::compare,
                    now -> AdviceDispatcher.BY_RANK_AND_PRIORITY,
                    (candidate, arrivals, capacity) -> 0,
                    JobAdmission::decideByPriority,
                    candidate -> Optional.empty());

    /** The cost of delay. */
    static final OrderPolicy DELAY_COST =
            new OrderPolicy(
                    DelayCost.order()::compare,
                    DelayCost::requestOrder,
                    UrgentArrivals::minFreeFraction,
                    DelayCostAdmission::decide,
                    DelayCost::loggedValue);
}
