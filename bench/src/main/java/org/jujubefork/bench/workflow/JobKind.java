package org.jujubefork.bench.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.StepDefinition;
import org.jujubefork.core.workflow.WorkflowDefinition;

/**
 * A kind of job and the rate at which callers submit it. Each kind has its own queue.
 *
 * @param name the name of the kind and of its queue
 * @param jobsPerSecond mean number of jobs that are submitted in a second at 258 workers
 * @param meanSteps mean number of steps of a job; each step depends on the one before
 * @param meanTasks mean number of tasks of a step
 * @param meanTaskMillis mean duration of a task in milliseconds
 * @param meanSize mean size of a task
 * @param gangFraction fraction of the steps that are gangs
 * @param priority priority of the queue, 0 is the most urgent
 * @param objectiveFactor factor of the critical path in the objective of a job
 * @param objectiveBaseMillis constant part of the objective of a job, in milliseconds
 * @param advice cost of an advice request
 * @param worth what an average job earns when it is done in time
 * @param goodFraction fraction of the workers that may run a step
 */
record JobKind(
        String name,
        double jobsPerSecond,
        double meanSteps,
        double meanTasks,
        double meanTaskMillis,
        Resources meanSize,
        double gangFraction,
        int priority,
        double objectiveFactor,
        long objectiveBaseMillis,
        AdviceSettings advice,
        double worth,
        double goodFraction) {
    static final String SERVICE = "waitlist";

    /** Number of workers for which {@link #jobsPerSecond} holds. */
    static final int REFERENCE_WORKER_COUNT = 258;

    /** The kinds of the users' waiting list on a large fleet. */
    static final List<JobKind> WAITING_LIST =
            List.of(
                    new JobKind(
                            "list-rebalance",
                            5.85,
                            1.2,
                            13,
                            4_000,
                            Resources.of(9_000, 19_000, 0),
                            1,
                            1,
                            2.2,
                            1_200,
                            new AdviceSettings(390, 5.6, 2_000),
                            4.97,
                            0.3),
                    new JobKind(
                            "offer-reconcile",
                            7.91,
                            1.5,
                            17,
                            2_200,
                            Resources.of(5_500, 20_000, 0),
                            0,
                            2,
                            4,
                            3_000,
                            new AdviceSettings(140, 2, 2_000),
                            2.3,
                            0.45),
                    new JobKind(
                            "place-check",
                            57.8,
                            1,
                            2.6,
                            800,
                            Resources.of(7_800, 22_000, 0),
                            0.3,
                            0,
                            1.5,
                            400,
                            new AdviceSettings(19, 0.27, 2_000),
                            0.441,
                            0.7));

    /** Largest multiple of a mean that a drawn value has. */
    private static final double MAX_MULTIPLE = 2.5;

    /** Number of workers in the advice request that an objective allows for each step. */
    private static final int ASSUMED_ADVICE_WORKERS = 30;

    private static final int MAX_ATTEMPTS = 4;
    private static final long TIMEOUT_MILLIS = 3_000;

    CellConfiguration.Queue queue() {
        return new CellConfiguration.Queue(
                name,
                "host",
                "/" + name + "/",
                SERVICE,
                priority,
                MAX_ATTEMPTS,
                TIMEOUT_MILLIS,
                objectiveFactor,
                objectiveBaseMillis,
                true,
                Optional.of(advice));
    }

    /** Returns the time in which a job has to end to be in time, in milliseconds. */
    double objectiveMillis(WorkflowDefinition definition) {
        double chainMillis = 0;
        for (StepDefinition step : definition.steps()) {
            chainMillis += step.estimateMillis() + advice.costMillis(ASSUMED_ADVICE_WORKERS);
        }
        return objectiveFactor * chainMillis + objectiveBaseMillis;
    }

    /** Draws a job. */
    WorkflowDefinition draw(SplittableRandom random) {
        int stepCount = (int) Math.max(1, Math.round(draw(meanSteps, 0.4, random)));
        List<StepDefinition> steps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            int tasks = (int) Math.max(1, Math.round(draw(meanTasks, 0.8, random)));
            Resources size = meanSize.scaled(draw(1, 0.4, random));
            long millis = Math.round(draw(meanTaskMillis, 0.5, random));
            boolean isGang = random.nextDouble() < gangFraction;
            steps.add(step(tasks, size, millis, i == 0 ? List.of() : List.of(i - 1), isGang));
        }
        return new WorkflowDefinition("payload", steps, 0, 0, 0);
    }

    private static StepDefinition step(
            int tasks, Resources size, long millis, List<Integer> dependencies, boolean isGang) {
        return new StepDefinition(
                tasks,
                size,
                millis,
                dependencies,
                isGang,
                false,
                "",
                "",
                0,
                false,
                false,
                false,
                false);
    }

    private static double draw(double mean, double spread, SplittableRandom random) {
        double factor = 1 + spread * random.nextGaussian();
        return mean * Math.clamp(factor, 0.2, MAX_MULTIPLE);
    }
}
