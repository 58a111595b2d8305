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
    static final double LATEST = 3;

    /** Workers that an objective assumes in one call for advice. */
    private static final int ADVICE_WORKERS = 30;

    /** Time from the end of the last task until the caller has asked for the outcome. */
    private static final long OUTCOME_MILLIS = 50;

    /** The ranks of work, the most urgent first. */
    enum Rank {
        /** Can meet its objective. */
        IN_TIME(0),
        /** Can only be late. */
        LATE(0),
        /** Its team has used up its share. */
        EXCESS(0.10),
        /** Is too late to count. */
        HOPELESS(0.15);

        private final double spare;

        Rank(double spare) {
            this.spare = spare;
        }

        /**
         * Returns the part of all capacity that has to be free before such work starts. Tasks run
         * for seconds, and what is in time may come at any moment.
         */
        double spare() {
            return spare;
        }

        /** Returns whether room is kept for such work when it does not fit yet. */
        boolean holdsRoom() {
            return this == IN_TIME || this == LATE;
        }
    }

    private Urgency() {}

    /** Returns the order: by rank, priority of the queue and acceptance. */
    static Comparator<Candidate> order() {
        return Comparator.comparing(Candidate::rank)
                .thenComparingInt(c -> c.queue().priority())
                .thenComparingLong(c -> c.job().acceptedAt())
                .thenComparing(c -> c.job().id());
    }

    /** Returns the rank of the occurrence of {@code job} that consists of {@code steps}. */
    static Rank rank(Job job, List<StepProgress> steps, Queue queue, long now) {
        double objective = objectiveMillis(job.definition(), queue);
        double end = now - job.acceptedAt() + remaining(job, steps, queue, now);
        if (end > LATEST * objective) {
            return Rank.HOPELESS;
        }
        if (!job.acceptance().withinShare()) {
            return Rank.EXCESS;
        }
        return end <= objective ? Rank.IN_TIME : Rank.LATE;
    }

    /** Returns the shortest time in which the rest of the steps can end. */
    private static double remaining(Job job, List<StepProgress> steps, Queue queue, long now) {
        List<StepDefinition> definitions = job.definition().steps();
        double[] left = new double[steps.size()];
        for (int i = 0; i < left.length; i++) {
            StepProgress run = steps.get(i);
            double whole = definitions.get(i).estimateMillis();
            if (run.isDone()) {
                left[i] = 0;
            } else if (run.hasWaiting()) {
                left[i] = whole + (run.advice().known() ? 0 : adviceMillis(queue));
            } else {
                left[i] = Math.max(0, whole - (now - run.readyAt()));
            }
        }
        return longestChain(definitions, left) + OUTCOME_MILLIS;
    }

    /**
     * Returns the objective of a job: its longest chain of work, stretched, and a constant. It is
     * infinite for a job without one; occurrences of a schedule and services have to run however
     * old their job is.
     */
    static double objectiveMillis(WorkflowDefinition job, Queue queue) {
        if (job.times() > 0 || job.steps().stream().anyMatch(StepDefinition::service)) {
            return Double.POSITIVE_INFINITY;
        }
        double[] whole = new double[job.steps().size()];
        for (int i = 0; i < whole.length; i++) {
            whole[i] = job.steps().get(i).estimateMillis() + adviceMillis(queue);
        }
        double objective =
                queue.stretch() * longestChain(job.steps(), whole) + queue.objectiveMillis();
        return objective > 0 ? objective : Double.POSITIVE_INFINITY;
    }

    private static double adviceMillis(Queue queue) {
        return queue.advice().map(a -> a.costMillis(ADVICE_WORKERS)).orElse(0.0);
    }

    private static double longestChain(List<StepDefinition> steps, double[] millis) {
        double[] ends = new double[millis.length];
        double longest = 0;
        for (int i = 0; i < millis.length; i++) {
            double start = 0;
            for (int before : steps.get(i).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + millis[i];
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
