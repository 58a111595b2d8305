package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Ranks steps that wait for capacity. In a burst the workers cannot run every step in time. Steps
 * of jobs that can still meet their objective go first, then those of late jobs. Steps of teams
 * over their share use remaining capacity, and steps of jobs that are far too late go last.
 */
final class Urgency {
    /**
     * A job that would take longer than this multiple of its objective is rejected, or runs last if
     * it was already accepted.
     */
    static final double MAX_OBJECTIVE_FACTOR = 3;

    /**
     * Number of workers assumed in an advice request when an objective or a remaining time is
     * computed. One request is assumed for each step.
     */
    private static final int ASSUMED_ADVICE_WORKER_COUNT = 30;

    /** Time from the completion of the last task until the caller has polled the result. */
    private static final long RESULT_POLL_MILLIS = 50;

    /** The ranks, the most urgent first. */
    enum Rank {
        /** Can meet its objective. */
        ON_TIME(0),
        /** Can no longer meet its objective. */
        LATE(0),
        /** Was accepted while its team was over its share. */
        OVER_SHARE(0.10),
        /** Would take longer than {@link #MAX_OBJECTIVE_FACTOR} times its objective to complete. */
        TOO_LATE(0.15);

        private final double minFreeFraction;

        Rank(double minFreeFraction) {
            this.minFreeFraction = minFreeFraction;
        }

        /**
         * Returns the fraction of the capacity of a service (a pool of workers) that must be free
         * before work of this rank starts. Running tasks free their capacity only after seconds;
         * the reserve keeps some free so that {@link #ON_TIME} work can start as soon as it
         * arrives.
         */
        double minFreeFraction() {
            return minFreeFraction;
        }

        /**
         * Returns whether workers may be reserved for gangs of this rank that do not fit yet, and
         * whether work of this rank counts as backlog.
         */
        boolean reservesCapacity() {
            return this == ON_TIME || this == LATE;
        }
    }

    private Urgency() {}

    /** Returns a comparator by rank, priority of the queue, time of acceptance and identifier. */
    static Comparator<Candidate> byUrgency() {
        return Comparator.comparing(Candidate::rank)
                .thenComparingInt(c -> c.queue().priority())
                .thenComparingLong(c -> c.job().acceptedAt())
                .thenComparing(c -> c.job().id());
    }

    /**
     * How urgent a step is.
     *
     * @param rank its rank
     * @param slackMillis how long the step can wait without making its job late, negative if the
     *     job is late already
     * @param objectiveMillis the target completion time of its job after the acceptance
     * @param remainingWork the estimated CPU time of the tasks of its occurrence that have not been
     *     started, in millicores times milliseconds
     * @param at when this was determined, in milliseconds of the monotonic clock
     */
    record Standing(
            Rank rank, double slackMillis, double objectiveMillis, long remainingWork, long at) {
        /** Returns a copy with {@code other} as the rank. */
        Standing with(Rank other) {
            return new Standing(other, slackMillis, objectiveMillis, remainingWork, at);
        }
    }

    /**
     * Returns the urgency of the occurrence of {@code job} whose steps have the progress {@code
     * steps}.
     */
    static Standing standing(WorkflowState state, Job job, List<StepProgress> steps, Queue queue) {
        long now = state.now();
        double objectiveMillis = objectiveMillis(state, job.definition(), queue);
        double completionMillis =
                now - job.acceptedAt() + remainingMillis(state, job, steps, queue);
        double slackMillis = objectiveMillis - completionMillis;
        return new Standing(
                rank(state, job, completionMillis, objectiveMillis),
                slackMillis,
                objectiveMillis,
                remainingWork(job, steps),
                now);
    }

    private static Rank rank(
            WorkflowState state, Job job, double completionMillis, double objectiveMillis) {
        if (completionMillis > MAX_OBJECTIVE_FACTOR * objectiveMillis) {
            return Rank.TOO_LATE;
        }
        if (!state.policies().share().isWithinShare(state, job)) {
            return Rank.OVER_SHARE;
        }
        return completionMillis <= objectiveMillis ? Rank.ON_TIME : Rank.LATE;
    }

    private static long remainingWork(Job job, List<StepProgress> steps) {
        long work = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepDefinition step = job.definition().steps().get(i);
            long openTasks = steps.get(i).waitingCount() + steps.get(i).assignedCount();
            work += openTasks * step.size().cpuMillis() * step.estimateMillis();
        }
        return work;
    }

    /** Returns how long a new job can wait without becoming late, in milliseconds. */
    static double initialSlackMillis(WorkflowState state, WorkflowDefinition job, Queue queue) {
        return objectiveMillis(state, job, queue)
                - minMillis(state, job, queue)
                - RESULT_POLL_MILLIS;
    }

    /** Returns the shortest time in which the remaining steps can complete, in milliseconds. */
    private static double remainingMillis(
            WorkflowState state, Job job, List<StepProgress> steps, Queue queue) {
        DurationModel durations = state.policies().durations();
        List<StepDefinition> definitions = job.definition().steps();
        double[] remainingStepMillis = new double[steps.size()];
        for (int i = 0; i < remainingStepMillis.length; i++) {
            StepProgress progress = steps.get(i);
            long estimateMillis = definitions.get(i).estimateMillis();
            if (progress.isDone()) {
                remainingStepMillis[i] = 0;
            } else if (progress.hasWaiting()) {
                remainingStepMillis[i] =
                        durations.expectedMillis(state.durations(), queue.name(), estimateMillis)
                                + (progress.advice().received() ? 0 : adviceMillis(queue));
            } else {
                long elapsedMillis = state.now() - progress.readyAt();
                remainingStepMillis[i] =
                        Math.max(
                                0,
                                durations.remainingMillis(
                                        state.durations(),
                                        queue.name(),
                                        estimateMillis,
                                        elapsedMillis));
            }
        }
        return criticalPathMillis(definitions, remainingStepMillis) + RESULT_POLL_MILLIS;
    }

    /**
     * Returns the target completion time of a job, in milliseconds after its acceptance: the
     * critical path of its steps times a factor of the queue, plus a constant of the queue. It is
     * infinite for a job without a target.
     */
    static double objectiveMillis(WorkflowState state, WorkflowDefinition job, Queue queue) {
        if (!job.isTimely()) {
            return Double.POSITIVE_INFINITY;
        }
        double millis =
                queue.objectiveFactor() * minMillis(state, job, queue)
                        + queue.objectiveBaseMillis();
        return millis > 0 ? millis : Double.POSITIVE_INFINITY;
    }

    /** Returns the shortest time in which a job can complete if no task waits for capacity. */
    private static double minMillis(WorkflowState state, WorkflowDefinition job, Queue queue) {
        double[] stepMillis = new double[job.steps().size()];
        for (int i = 0; i < stepMillis.length; i++) {
            long expectedMillis =
                    state.policies()
                            .durations()
                            .expectedMillis(
                                    state.durations(),
                                    queue.name(),
                                    job.steps().get(i).estimateMillis());
            stepMillis[i] = expectedMillis + adviceMillis(queue);
        }
        return criticalPathMillis(job.steps(), stepMillis);
    }

    private static double adviceMillis(Queue queue) {
        return queue.advice().map(a -> a.costMillis(ASSUMED_ADVICE_WORKER_COUNT)).orElse(0.0);
    }

    private static double criticalPathMillis(List<StepDefinition> steps, double[] stepMillis) {
        double[] endMillis = new double[stepMillis.length];
        double longestMillis = 0;
        for (int i = 0; i < stepMillis.length; i++) {
            double startMillis = 0;
            for (int dependency : steps.get(i).dependencies()) {
                startMillis = Math.max(startMillis, endMillis[dependency]);
            }
            endMillis[i] = startMillis + stepMillis[i];
            longestMillis = Math.max(longestMillis, endMillis[i]);
        }
        return longestMillis;
    }
}
