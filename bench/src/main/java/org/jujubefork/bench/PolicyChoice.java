package org.jujubefork.bench;

import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Policies that the report compares.
 *
 * @param name the name in the report
 * @param policies policies by kind of work; empty for the defaults
 * @param tuning figures
 */
record PolicyChoice(String name, PMap<WorkKind, KindPolicy> policies, Tuning tuning) {
    /** A time that no run reaches, to switch reclaiming and reservations off. */
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

    static final PolicyChoice[] ALL = {
        new PolicyChoice("default", HashTreePMap.empty(), Tuning.DEFAULT),
        new PolicyChoice("waiting-fair", all("waiting-fair", "best-fit"), Tuning.DEFAULT),
        new PolicyChoice("first fit, arrival order", all("fifo", "first-fit"), plain()),
        new PolicyChoice("least loaded, no shares", all("fifo", "least-loaded"), plain()),
    };

    private static PMap<WorkKind, KindPolicy> all(String order, String placement) {
        PMap<WorkKind, KindPolicy> policies = HashTreePMap.empty();
        for (WorkKind kind : WorkKind.values()) {
            policies = policies.plus(kind, new KindPolicy(order, placement));
        }
        return policies;
    }

    private static Tuning plain() {
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
