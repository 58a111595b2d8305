package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;

/**
 * Moves the tasks of services out of evacuated zones, no more at a time than the step allows to be
 * unavailable. A task is unavailable from its stop until a worker reports the new run at full
 * speed, and tasks that are unavailable for other causes count as well.
 */
final class ServiceMoves {
    private static final long FULL_SPEED_PERCENT = 100;

    private ServiceMoves() {}

    /** Records that {@code worker} reports a run of a movable service at full speed. */
    static WorkflowTransition noteSpeed(WorkflowState state, String worker, RunningRun run) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge = node.charges().get(run.task());
        Job job = state.jobs().get(run.task().job());
        boolean isNews =
                run.speedPercent() >= FULL_SPEED_PERCENT
                        && charge != null
                        && charge.runNumber() == run.runNumber()
                        && !charge.fullSpeed()
                        && !charge.stopping()
                        && job != null
                        && job.hasTask(run.task())
                        && isMovable(job.step(run.task().stepKey()));
        return WorkflowTransition.of(
                isNews ? state.with(node.withCharge(run.task(), charge.withFullSpeed())) : state);
    }

    private static boolean isMovable(StepDefinition step) {
        // The members of a gang run only together, so none of them can be moved alone.
        return step.service() && step.mayMiss() > 0 && !step.gang();
    }

    /** Stops the tasks whose turn to move has come. They are placed again as other tasks are. */
    static WorkflowTransition moveDue(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        boolean hasEvacuatedZones =
                !state.evacuations().zones().isEmpty() && state.evacuations().isFresh(state.now());
        if (!hasEvacuatedZones || !Fleet.isRecovered(state)) {
            return result;
        }
        Supplier<PassCapacity> capacity = new Memoized<>(() -> PassCapacity.of(state));
        for (Job job : state.jobs().values()) {
            if (!job.isActive() || job.definition().steps().stream().noneMatch(s -> isMovable(s))) {
                continue;
            }
            for (int occurrence : job.occurrences().keySet()) {
                for (int i = 0; i < job.definition().steps().size(); i++) {
                    StepKey key = new StepKey(job.id(), occurrence, i);
                    if (isMovable(job.step(key))) {
                        result = result.then(s -> moveTasks(s, key, capacity));
                    }
                }
            }
        }
        return result;
    }

    private static WorkflowTransition moveTasks(
            WorkflowState state, StepKey key, Supplier<PassCapacity> capacity) {
        Job job = state.jobs().get(key.job());
        List<TaskKey> inZone = new ArrayList<>();
        int unavailable = 0;
        for (int i = 0; i < job.step(key).taskCount(); i++) {
            TaskKey task = key.task(i);
            if (!isAvailable(state, job, task)) {
                unavailable++;
            } else if (isInEvacuatedZone(state, job.task(task))) {
                inZone.add(task);
            }
        }
        int allowance = job.step(key).mayMiss() - unavailable;
        if (allowance <= 0 || inZone.isEmpty() || state.queueOf(job).isEmpty()) {
            return WorkflowTransition.of(state);
        }
        Queue queue = state.queueOf(job).get();
        long places = placesFor(Placement.candidate(state, job, key, queue), capacity.get());
        WorkflowTransition result = WorkflowTransition.of(state);
        for (TaskKey task : inZone.subList(0, (int) Math.min(inZone.size(), allowance))) {
            if (places-- > 0) {
                result = result.then(s -> move(s, task));
            }
        }
        return result;
    }

    private static boolean isAvailable(WorkflowState state, Job job, TaskKey key) {
        Task task = job.task(key);
        WorkerNode node = state.workers().get(task.worker());
        WorkerNode.Charge charge = node == null ? null : node.charges().get(key);
        return task.phase() == Task.Phase.RUNNING && charge != null && charge.fullSpeed();
    }

    private static boolean isInEvacuatedZone(WorkflowState state, Task task) {
        return state.evacuations().covers(state.workers().get(task.worker()).listing().zone());
    }

    /** Returns how many more tasks of the step than those that wait have room on other workers. */
    private static long placesFor(Candidate candidate, PassCapacity capacity) {
        int maxPerWorker = candidate.definition().maxPerWorker();
        long places = -candidate.progress().waitingCount();
        for (WorkerNode node : capacity.usableWorkers()) {
            if (PassCapacity.isEligible(candidate, node)) {
                long free = capacity.freePlaces(candidate, node);
                long present =
                        node.charges().keySet().stream()
                                .filter(t -> t.stepKey().equals(candidate.key()))
                                .count();
                places += maxPerWorker == 0 ? free : Math.clamp(maxPerWorker - present, 0, free);
            }
        }
        return places;
    }

    private static WorkflowTransition move(WorkflowState state, TaskKey key) {
        Task task = state.jobs().get(key.job()).task(key);
        WorkerNode node = state.workers().get(task.worker());
        return WorkerCommands.stop(state, task.worker(), key)
                .with(
                        WorkflowEffect.LogEvent.of(
                                "service-task-moved",
                                key,
                                "run",
                                task.runNumber(),
                                "worker",
                                task.worker(),
                                "zone",
                                node.listing().zone()));
    }
}
