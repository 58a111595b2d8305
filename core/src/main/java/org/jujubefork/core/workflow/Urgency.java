package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Orders what waits. In a burst the fleet cannot serve all in time; work that can still meet its
 * objective goes before work that is late, work beyond the share of its team waits for room that
 * the others leave, and work that is too late to count goes last.
 */
final class Urgency {
    /** A job that takes longer than this many times its objective counts for nothing. */
    static final double MAX_OBJECTIVE_FACTOR = 3;

    /** Workers that an objective assumes in one call for advice. */
    private static final int ASSUMED_ADVICE_WORKER_COUNT = 30;

    /** Time from the end of the last task until the caller has asked for the outcome. */
    private static final long RESULT_POLL_MILLIS = 50;

    /** The ranks of work, the most urgent first. */
    enum Rank {
        /** Can meet its objective. */
        ON_TIME(0),
        /** Can only be late. */
        LATE(0),
        /** Its team has used up its share. */
        OVER_SHARE(0.10),
        /** Is too late to count. */
        TOO_LATE(0.15);

        private final double spare;

        Rank(double minFreeFraction) {
            this.spare = minFreeFraction;
        }

        /**
         * Returns the part of all capacity that has to be free before such work starts. Tasks run
         * for seconds, and what is in time may come at any moment.
         */
        double minFreeFraction() {
            return spare;
        }

        /** Returns whether room is kept for such work when it does not fit yet. */
        boolean reservesCapacity() {
            return this == ON_TIME || this == LATE;
        }
    }

    private Urgency() {}

    /** Returns the order: by rank, priority of the queue and acceptance. */
    static Comparator<Candidate> byUrgency() {
        return Comparator.comparing(Candidate::rank)
                .thenComparingInt(c -> c.queue().priority())
                .thenComparingLong(c -> c.job().acceptedAt())
                .thenComparing(c -> c.job().id());
    }

    /** Returns the rank of the occurrence of {@code job} that consists of {@code steps}. */
    static Rank rank(Job job, List<StepProgress> steps, Queue queue, long now) {
        double objectiveMillis = objectiveMillis(job.definition(), queue);
        double completionMillis = now - job.acceptedAt() + remainingMillis(job, steps, queue, now);
        if (completionMillis > MAX_OBJECTIVE_FACTOR * objectiveMillis) {
            return Rank.TOO_LATE;
        }
        if (!job.acceptance().withinShare()) {
            return Rank.OVER_SHARE;
        }
        return completionMillis <= objectiveMillis ? Rank.ON_TIME : Rank.LATE;
    }

    /** Returns the shortest time in which the rest of the steps can end. */
    private static double remainingMillis(
            Job job, List<StepProgress> steps, Queue queue, long now) {
        List<StepDefinition> definitions = job.definition().steps();
        double[] remaining = new double[steps.size()];
        for (int i = 0; i < remaining.length; i++) {
            StepProgress progress = steps.get(i);
            double estimate = definitions.get(i).estimateMillis();
            if (progress.isDone()) {
                remaining[i] = 0;
            } else if (progress.hasWaiting()) {
                remaining[i] = estimate + (progress.advice().received() ? 0 : adviceMillis(queue));
            } else {
                remaining[i] = Math.max(0, estimate - (now - progress.readyAt()));
            }
        }
        return criticalPathMillis(definitions, remaining) + RESULT_POLL_MILLIS;
    }

    /**
     * Returns the objective of a job: its longest chain of work, stretched, and a constant. It is
     * infinite for a job without one; occurrences of a schedule and services have to run however
     * old their job is.
     */
    static double objectiveMillis(WorkflowDefinition job, Queue queue) {
        if (job.scheduledCount() > 0 || job.steps().stream().anyMatch(StepDefinition::service)) {
            return Double.POSITIVE_INFINITY;
        }
        double[] stepMillis = new double[job.steps().size()];
        for (int i = 0; i < stepMillis.length; i++) {
            stepMillis[i] = job.steps().get(i).estimateMillis() + adviceMillis(queue);
        }
        double millis =
                queue.objectiveFactor() * criticalPathMillis(job.steps(), stepMillis)
                        + queue.objectiveBaseMillis();
        return millis > 0 ? millis : Double.POSITIVE_INFINITY;
    }

    private static double adviceMillis(Queue queue) {
        return queue.advice().map(a -> a.costMillis(ASSUMED_ADVICE_WORKER_COUNT)).orElse(0.0);
    }

    private static double criticalPathMillis(List<StepDefinition> steps, double[] stepMillis) {
        double[] ends = new double[stepMillis.length];
        double longest = 0;
        for (int i = 0; i < stepMillis.length; i++) {
            double start = 0;
            for (int dependency : steps.get(i).dependencies()) {
                start = Math.max(start, ends[dependency]);
            }
            ends[i] = start + stepMillis[i];
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
