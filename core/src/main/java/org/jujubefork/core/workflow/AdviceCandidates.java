package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Selects the workers that a request to the advice service names. The time that the service needs
 * grows with the number of workers, and the step waits for the answer, so the first request of a
 * step names only as many workers as are likely to be enough. If the step does not fit on those
 * that may run it, further requests name the others.
 */
final class AdviceCandidates {
    /** Maximum number of workers in one request that the service accepts. */
    static final int MAX_WORKERS_PER_REQUEST = 100;

    /** Minimum number of workers in a first request, if there are as many. */
    private static final int MIN_WORKERS = 12;

    /**
     * Expected number of places for each task of a step. Other steps take places while the service
     * processes the request, and a choice of places packs better.
     */
    private static final double PLACES_PER_TASK = 4;

    /**
     * Part of the places of a worker without free capacity that counts as available, because runs
     * on it may end before the step starts.
     */
    private static final double BUSY_WORKER_WEIGHT = 0.25;

    /** A worker and the number of tasks of a step that fit on it now and when it is empty. */
    private record Option(WorkerNode node, long freePlaces, long totalPlaces, int spread) {
        double expectedPlaces() {
            return freePlaces > 0 ? freePlaces : totalPlaces * BUSY_WORKER_WEIGHT;
        }
    }

    /** Workers with a free place first, and warm ones among them before cold ones. */
    private static final Comparator<Option> WARM_WITH_PLACES_FIRST =
            Comparator.comparing((Option o) -> o.freePlaces() == 0)
                    .thenComparing(o -> o.node().listing().coldLeftMillis() > 0);

    /** Workers with the most free places first, so that a gang finds entire workers. */
    private static final Comparator<Option> FOR_GANGS =
            WARM_WITH_PLACES_FIRST
                    .thenComparing(o -> -o.freePlaces())
                    .thenComparing(Option::spread);

    /** Workers with a free place first; the others spread the load of concurrent steps. */
    private static final Comparator<Option> FOR_SINGLE_TASKS =
            WARM_WITH_PLACES_FIRST.thenComparing(Option::spread);

    private AdviceCandidates() {}

    /**
     * Returns the workers to name in the next request of the step.
     *
     * @param eligible the workers that could run it and were not named yet
     * @param capacity the free capacity
     * @param yield the expected fraction of the workers that may run it
     */
    static List<String> select(
            Candidate candidate, List<WorkerNode> eligible, PassCapacity capacity, double yield) {
        List<Option> options = new ArrayList<>();
        for (WorkerNode node : eligible) {
            options.add(
                    new Option(
                            node,
                            capacity.freePlaces(candidate, node),
                            PassCapacity.totalPlaces(candidate, node),
                            spread(candidate.key(), node.id())));
        }
        options.sort(candidate.definition().gang() ? FOR_GANGS : FOR_SINGLE_TASKS);
        int maxWorkers = Math.min(MAX_WORKERS_PER_REQUEST, options.size());
        int minWorkers = Math.min(MIN_WORKERS, maxWorkers);
        double neededPlaces = PLACES_PER_TASK * candidate.progress().waitingCount();
        boolean isFirst = !candidate.progress().advice().received();
        List<String> selected = new ArrayList<>();
        double expectedPlaces = 0;
        for (Option option : options.subList(0, maxWorkers)) {
            if (isFirst && selected.size() >= minWorkers && expectedPlaces >= neededPlaces) {
                break;
            }
            selected.add(option.node().id());
            expectedPlaces += yield * option.expectedPlaces();
        }
        return selected;
    }

    /** Returns a number that orders the workers differently for each step. */
    private static int spread(StepKey step, String worker) {
        int hash = 31 * step.hashCode() + worker.hashCode();
        // Mixes the bits, because hash codes of similar identifiers are similar.
        hash *= 0x9E3779B9;
        return hash ^ (hash >>> 16);
    }
}
