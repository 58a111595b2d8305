package org.jujubefork.bench;

import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A set of scheduling policies that the report compares with others.
 *
 * @param name the name in the report
 * @param policies policies by kind of work; kinds that are absent use the default policies
 * @param tuning the scheduling parameters
 */
record PolicyVariant(String name, PMap<WorkKind, KindPolicy> policies, Tuning tuning) {
    /** A delay longer than any run, which disables reclaim and gang reservations. */
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

    static final PolicyVariant[] ALL = {
        new PolicyVariant("default", HashTreePMap.empty(), Tuning.DEFAULT),
        new PolicyVariant("waiting-fair", forAllKinds("waiting-fair", "best-fit"), Tuning.DEFAULT),
        new PolicyVariant(
                "first fit, arrival order",
                forAllKinds("fifo", "first-fit"),
                withoutReclaimAndReservations()),
        new PolicyVariant(
                "least loaded, no shares",
                forAllKinds("fifo", "least-loaded"),
                withoutReclaimAndReservations()),
    };

    private static PMap<WorkKind, KindPolicy> forAllKinds(String order, String placement) {
        PMap<WorkKind, KindPolicy> policies = HashTreePMap.empty();
        for (WorkKind kind : WorkKind.values()) {
            policies = policies.plus(kind, new KindPolicy(order, placement));
        }
        return policies;
    }

    private static Tuning withoutReclaimAndReservations() {
        Tuning base = Tuning.DEFAULT;
        return new Tuning(
                NEVER_MILLIS,
                NEVER_MILLIS,
                base.requestReserve(),
                base.reservedSlots(),
                base.maxQueuedTotal(),
                base.maxAttempts(),
                base.quarantineFailures(),
                base.quarantineWindowMillis(),
                base.crossZoneCostMillis(),
                base.crossRegionCostMillis());
    }
}
