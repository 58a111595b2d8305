package org.jujubefork.core.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.StreamSupport;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;

/** The placement policies that the configuration can select by name. */
public final class PlacementPolicies {
    /** Chooses the worker with the least free CPU on which the work fits. */
    public static final PlacementPolicy BEST_FIT =
            (index, demand) -> index.byFree().first(demand).map(WorkerKey::worker);

    /**
     * Chooses the worker with the most free request slots for requests, and with the most free CPU
     * for other work.
     */
    public static final PlacementPolicy LEAST_LOADED =
            (index, demand) ->
                    (demand.requiredSlots() > 0 ? index.byFreeSlots() : index.byFree())
                            .last(demand)
                            .map(WorkerKey::worker);

    /** Chooses the first worker by id on which the work fits. This baseline scans all workers. */
    public static final PlacementPolicy FIRST_FIT =
            (index, demand) ->
                    StreamSupport.stream(index.byFree().spliterator(), false)
                            .filter(demand::fits)
                            .map(WorkerKey::worker)
                            .min(Comparator.naturalOrder());

    /**
     * Chooses the rack, and within it the worker, with the fewest replicas of the same service, so
     * that the loss of a rack or worker stops few replicas. Ties are resolved in favor of the most
     * free CPU.
     */
    public static final PlacementPolicy SPREAD = PlacementPolicies::spread;

    private static final Map<String, PlacementPolicy> BY_NAME =
            Map.of(
                    "best-fit",
                    BEST_FIT,
                    "least-loaded",
                    LEAST_LOADED,
                    "first-fit",
                    FIRST_FIT,
                    "spread",
                    SPREAD);

    private PlacementPolicies() {}

    /** Returns the names that the configuration may use. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Returns the policy called {@code name}; empty if there is none. */
    public static Optional<PlacementPolicy> named(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }

    /** Returns the policy for {@code kind} if the configuration selects none. */
    public static PlacementPolicy defaultFor(WorkKind kind) {
        return switch (kind) {
            case LOOKUP, COMMAND -> LEAST_LOADED;
            case SERVICE -> SPREAD;
            case BATCH, GANG -> BEST_FIT;
        };
    }

    /**
     * Chooses by {@link #SPREAD}. Workers of a rack are examined only if the rack has fewer
     * replicas than the best candidate so far, or as many replicas and more free CPU.
     */
    private static Optional<WorkerId> spread(WorkerIndex index, Demand demand) {
        WorkerKey best = null;
        int fewestReplicas = Integer.MAX_VALUE;
        for (var rackAndWorkers : index.byRack().entrySet()) {
            WorkerTree rackWorkers = rackAndWorkers.getValue();
            int replicas = demand.replicas().inRack(rackAndWorkers.getKey());
            boolean isWorse =
                    replicas > fewestReplicas
                            || (replicas == fewestReplicas
                                    && best != null
                                    && rackWorkers.maxFree().cpuMillis()
                                            <= best.free().cpuMillis());
            if (isWorse || !rackWorkers.mayFit(demand)) {
                continue;
            }
            WorkerKey candidate = leastReplicasInRack(rackWorkers, demand);
            if (candidate != null) {
                best = candidate;
                fewestReplicas = replicas;
            }
        }
        return Optional.ofNullable(best).map(WorkerKey::worker);
    }

    private static WorkerKey leastReplicasInRack(WorkerTree rackWorkers, Demand demand) {
        WorkerKey best = null;
        int fewestReplicas = Integer.MAX_VALUE;
        for (WorkerKey worker : rackWorkers) {
            int replicas = demand.replicas().onWorker(worker.worker());
            // Later workers of the tree have more free CPU.
            if (replicas <= fewestReplicas && demand.fits(worker)) {
                best = worker;
                fewestReplicas = replicas;
            }
        }
        return best;
    }
}
