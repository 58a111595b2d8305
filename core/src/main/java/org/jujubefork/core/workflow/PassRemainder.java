package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * What a placement pass has left over.
 *
 * @param unplaced the steps that wait for free capacity
 * @param untried the steps that are not stored yet or have no tickets yet, so that the pass could
 *     not try to place them
 * @param teamLimited the steps that wait because of the limit of their team
 * @param freeWorkers the usable workers that have free CPU and are not reserved
 * @param capacities the capacity of the usable workers of each service
 * @param allocated the allocated part of that capacity
 */
record PassRemainder(
        List<Candidate> unplaced,
        List<Candidate> untried,
        List<Candidate> teamLimited,
        List<FreeWorker> freeWorkers,
        Map<String, Resources> capacities,
        Map<String, Resources> allocated) {
    /** Copies the collections. */
    PassRemainder {
        unplaced = List.copyOf(unplaced);
        untried = List.copyOf(untried);
        teamLimited = List.copyOf(teamLimited);
        freeWorkers = List.copyOf(freeWorkers);
        capacities = Map.copyOf(capacities);
        allocated = Map.copyOf(allocated);
    }

    /**
     * A worker with free capacity.
     *
     * @param node the worker
     * @param free its free capacity
     */
    record FreeWorker(WorkerNode node, Resources free) {}
}
