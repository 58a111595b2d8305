package org.jujubefork.core.workflow;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.jujubefork.core.model.Resources;

/**
 * What a caller asked for in one step of a job.
 *
 * @param taskCount the number of tasks
 * @param size what each task needs
 * @param estimateMillis the caller's estimate of a task's duration, 0 if there is none
 * @param dependencies the earlier steps that must be done first
 * @param gang whether all tasks run together or not at all
 * @param sameRack whether the tasks are slow when they run on several racks
 * @param requiredLabel a label that the worker must have, empty for none
 * @param dataRack the rack that holds the data, empty for none
 * @param maxPerWorker the most tasks of the step on one worker, 0 for no bound
 * @param speculative whether copies of a task may run at the same time
 * @param checkpoints whether the tasks save their progress
 * @param service whether the tasks run until the job is cancelled
 * @param usesIdleCpu whether the tasks take only processor time that others leave
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
        boolean checkpoints,
        boolean service,
        boolean usesIdleCpu) {
    /** Checks that the step can be run at all. */
    public StepDefinition {
        if (taskCount < 1) {
            throw new IllegalArgumentException("count is " + taskCount + ", at least 1 is needed");
        }
        if (size.isNegative()) {
            throw new IllegalArgumentException("negative size: " + size);
        }
        dependencies = List.copyOf(dependencies);
        requireNonNull(requiredLabel, "requiredLabel");
        requireNonNull(dataRack, "dataRack");
    }

    /** Returns what one task takes of the capacity of its worker. */
    public Resources chargedCapacity() {
        return usesIdleCpu ? Resources.of(0, size.memoryMb(), size.accelerators()) : size;
    }
}
