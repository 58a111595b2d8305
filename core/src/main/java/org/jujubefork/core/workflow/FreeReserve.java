package org.jujubefork.core.workflow;

import java.util.function.Supplier;
import org.jujubefork.core.workflow.Placement.Candidate;

/** Decides how much capacity of a service must be free before a step may use it. */
@FunctionalInterface
interface FreeReserve {
    /**
     * Returns the fraction of the capacity of its service that must be free before tasks of {@code
     * candidate} start.
     *
     * @param arrivals the urgent work that arrives; computed only if it is asked for
     * @param capacityMillicores the CPU capacity of the usable workers of the service
     */
    double minFreeFraction(
            Candidate candidate, Supplier<UrgentArrivals> arrivals, long capacityMillicores);
}
