package org.jujubefork.core.workflow;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;

/** Decides whether and how well the tasks of a step fit on a worker. */
final class StepFit {
    /**
     * Score penalty for a worker outside the rack of the step's data. It exceeds the highest score
     * that remaining capacity can give.
     */
    private static final double REMOTE_DATA_PENALTY = 10;

    /** Score penalty for a cold worker, so that all warm workers go before it. */
    private static final double COLD_PENALTY = 2 * REMOTE_DATA_PENALTY;

    private StepFit() {}

    /** Returns whether {@code step} could run on {@code node} if nothing else ran there. */
    static boolean isEligible(StepDefinition step, Queue queue, WorkerNode node) {
        String label = step.requiredLabel();
        return node.listing().service().equals(queue.service())
                && (label.isEmpty() || node.listing().labels().contains(label))
                && step.size().fitsIn(node.listing().capacity());
    }

    /** Returns how many tasks of {@code step} fit in {@code free} on one worker. */
    static long placesIn(StepDefinition step, Resources free) {
        long count = step.chargedCapacity().countIn(free, step.taskCount());
        return step.maxPerWorker() == 0 ? count : Math.min(count, step.maxPerWorker());
    }

    /**
     * Returns the score of a worker; the lowest score is the best. The worker with the least
     * remaining capacity is preferred, so that other workers stay entirely free for wide gangs.
     *
     * @param free the free capacity of the worker
     */
    static double score(StepDefinition step, WorkerNode node, Resources free) {
        Resources remainingCapacity = free.minus(step.chargedCapacity());
        double score = remainingCapacity.dominantShareOf(node.listing().capacity());
        score += node.listing().coldLeftMillis() > 0 ? COLD_PENALTY : 0;
        String rack = step.dataRack();
        boolean isLocal = rack.isEmpty() || rack.equals(node.listing().rack());
        return isLocal ? score : score + REMOTE_DATA_PENALTY;
    }
}
