package org.jujubefork.core.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * The workers that are reserved for gangs during one placement pass. Mutable; used on the control
 * thread for one pass only.
 */
final class ReservedWorkers {
    private final Collection<WorkerNode> usableWorkers;
    private final Function<String, Resources> freeCapacity;
    private final Set<String> reserved = new HashSet<>();

    /**
     * Creates an instance without reservations.
     *
     * @param usableWorkers the workers that may get new tasks
     * @param freeCapacity returns what is free on a worker at that moment
     */
    ReservedWorkers(
            Collection<WorkerNode> usableWorkers, Function<String, Resources> freeCapacity) {
        this.usableWorkers = usableWorkers;
        this.freeCapacity = freeCapacity;
    }

    boolean contains(String worker) {
        return reserved.contains(worker);
    }

    int count() {
        return reserved.size();
    }

    /**
     * Reserves as many of {@code runnable} as all tasks of {@code candidate} need, as far as the
     * maximum of its service allows. The workers with the most free CPU are reserved. As no other
     * task starts on them, they keep the most free CPU, so the next pass reserves the same workers.
     */
    void reserve(Candidate candidate, List<WorkerNode> runnable) {
        long remainingTasks = candidate.progress().tasks().size();
        List<WorkerNode> leastLoaded =
                runnable.stream()
                        .filter(n -> !reserved.contains(n.id()))
                        .sorted(
                                Comparator.comparingLong(
                                        n -> -freeCapacity.apply(n.id()).cpuMillis()))
                        .limit(Math.max(0, remainingReservations(candidate.queue().service())))
                        .toList();
        for (WorkerNode node : leastLoaded) {
            if (remainingTasks <= 0) {
                return;
            }
            reserved.add(node.id());
            long places = StepFit.placesIn(candidate.definition(), freeCapacity.apply(node.id()));
            remainingTasks -= Math.max(1, places);
        }
    }

    /** Returns how many workers of {@code service} may be reserved beside those that are. */
    private long remainingReservations(String service) {
        long workerCount = 0;
        long reservedCount = 0;
        for (WorkerNode node : usableWorkers) {
            if (node.listing().service().equals(service)) {
                workerCount++;
                reservedCount += reserved.contains(node.id()) ? 1 : 0;
            }
        }
        return GangReservations.maxWorkers(workerCount) - reservedCount;
    }
}
