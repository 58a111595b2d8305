package org.jujubefork.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/** The placement policies that settings can name. */
public final class PlacementPolicies {
    /** Takes the worker with the least free processors on which the work fits. */
    public static final PlacementPolicy BEST_FIT =
            (index, demand) -> first(index.byFree().tailSet(lowest(demand)), demand);

    /** Takes the worker with the most free request slots, or with the most free processors. */
    public static final PlacementPolicy LEAST_LOADED =
            (index, demand) ->
                    first(
                            demand.slots() > 0
                                    ? index.bySlots().descendingSet()
                                    : index.byFree().descendingSet(),
                            demand);

    /** Takes the first worker by id on which the work fits; a baseline for comparisons. */
    public static final PlacementPolicy FIRST_FIT =
            (index, demand) ->
                    index.byFree().stream()
                            .filter(demand::fits)
                            .map(WorkerKey::worker)
                            .min(Comparator.naturalOrder());

    private static final Map<String, PlacementPolicy> BY_NAME =
            Map.of("best-fit", BEST_FIT, "least-loaded", LEAST_LOADED, "first-fit", FIRST_FIT);

    private PlacementPolicies() {}

    /** Returns the names that settings may use. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Returns the policy {@code name}, if it exists. */
    public static Optional<PlacementPolicy> named(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }

    private static Optional<WorkerId> first(Collection<WorkerKey> workers, Demand demand) {
        for (WorkerKey worker : workers) {
            if (demand.fits(worker)) {
                return Optional.of(worker.worker());
            }
        }
        return Optional.empty();
    }

    private static WorkerKey lowest(Demand demand) {
        return new WorkerKey(Resources.of(demand.needed().cpuMillis(), 0, 0), 0, LOWEST_WORKER);
    }

    private static final WorkerId LOWEST_WORKER = WorkerId.of("#");
}
