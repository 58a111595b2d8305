package org.jujubefork.core.workflow;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.jujubefork.core.model.Resources;

/**
 * One step of a job as the caller defined it.
 *
 * @param taskCount the number of tasks, at least 1
 * @param size the resources that each task needs
 * @param estimateMillis the caller's estimate of a task's duration, 0 for none
 * @param dependencies the indexes of the earlier steps that must be done before this step starts
 * @param gang whether the step is a gang: its tasks run only all at the same time
 * @param sameRack whether all tasks should run in one rack, because they are slower across racks
 * @param requiredLabel a label that the worker must have, empty for none
 * @param dataRack the rack that holds the data, empty for none
 * @param maxPerWorker the maximum number of tasks of the step on one worker, 0 for no limit
 * @param speculative whether several copies of a task may run at the same time
 * @param writesCheckpoints whether the tasks write checkpoints from which they can resume
 * @param service whether the tasks run until the job is cancelled
 * @param usesIdleCpu whether the tasks use only CPU time that other tasks leave idle
 * @param mayMiss how many tasks of a service the system may make unavailable at the same time, 0
 *     for steps that are no services
 */
public record StepDefinition(
        int taskCount,
        Resources size,
        long estimateMillis,
        List<Integer> dependencies,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean writesCheckpoints,
        boolean service,
        boolean usesIdleCpu,
        int mayMiss) {
    /** Checks that there is at least one task and that the task size is not negative. */
    public StepDefinition {
        if (taskCount < 1) {
            throw new IllegalArgumentException(
                    "task count is " + taskCount + ", must be at least 1");
        }
        if (size.isNegative()) {
            throw new IllegalArgumentException("negative task size: " + size);
        }
        dependencies = List.copyOf(dependencies);
        requireNonNull(requiredLabel, "requiredLabel");
        requireNonNull(dataRack, "dataRack");
        if (mayMiss < 0 || (mayMiss > 0 && !service)) {
            throw new IllegalArgumentException("mayMiss is " + mayMiss + ", service: " + service);
        }
    }

    /** Creates a step of which the system may make no task unavailable. */
    public StepDefinition(
            int taskCount,
            Resources size,
            long estimateMillis,
            List<Integer> dependencies,
            boolean gang,
            boolean sameRack,
            String requiredLabel,
            String dataRack,
            int maxPerWorker,
            boolean speculative,
            boolean writesCheckpoints,
            boolean service,
            boolean usesIdleCpu) {
        this(
                taskCount,
                size,
                estimateMillis,
                dependencies,
                gang,
                sameRack,
                requiredLabel,
                dataRack,
                maxPerWorker,
                speculative,
                writesCheckpoints,
                service,
                usesIdleCpu,
                0);
    }

    /** Returns a copy with {@code other} as the number of tasks that a service may miss. */
    public StepDefinition withMayMiss(int other) {
        return new StepDefinition(
                taskCount,
                size,
                estimateMillis,
                dependencies,
                gang,
                sameRack,
                requiredLabel,
                dataRack,
                maxPerWorker,
                speculative,
                writesCheckpoints,
                service,
                usesIdleCpu,
                other);
    }

    /**
     * Returns the worker capacity that one task is charged for; it contains no CPU if the task uses
     * only idle CPU.
     */
    public Resources chargedCapacity() {
        return usesIdleCpu ? Resources.of(0, size.memoryMb(), size.accelerators()) : size;
    }
}
