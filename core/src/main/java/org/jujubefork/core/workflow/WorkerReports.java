package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/** Processes the reports of workers about their runs. */
final class WorkerReports {
    private WorkerReports() {}

    static WorkflowTransition leaseRenewalAnswered(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        WorkerNode node = state.workers().get(event.worker());
        if (node == null || !state.leadership().leads()) {
            return WorkflowTransition.of(state);
        }
        long born = node.contact().born();
        boolean restarted = born != 0 && born != event.report().incarnation();
        WorkflowTransition result =
                restarted
                        ? Fleet.workerRestarted(state, event.worker(), event.report().incarnation())
                        : WorkflowTransition.of(state);
        boolean firstContact = !node.contact().reached();
        if (!state.commitQueue().isWorkerRecorded(event.worker())) {
            WorkflowState current = result.state();
            result = result.withState(current.with(current.commitQueue().withFleetDirty()));
        }
        result = result.then(s -> processEndedRuns(s, event));
        result = result.then(s -> reconcile(s, event));
        return firstContact
                ? result.with(
                        WorkflowEffect.LogEvent.of(
                                "worker-reached",
                                event.worker(),
                                "born",
                                event.report().incarnation(),
                                "running",
                                event.report().running().size(),
                                "ended",
                                event.report().ended().size(),
                                "all_ended_listed",
                                event.report().allEndedListed(),
                                "recovered",
                                Fleet.isRecovered(result.state())))
                : result;
    }

    private static WorkflowTransition processEndedRuns(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        WorkerReport report = event.report();
        WorkerContact contact = state.workers().get(event.worker()).contact();
        Incarnation incarnation = contact.incarnation();
        List<EndedRun> newlyEnded =
                report.ended().stream()
                        .filter(e -> e.sequence() > incarnation.processedSequence())
                        .sorted(Comparator.comparingLong(EndedRun::sequence))
                        .toList();
        WorkflowTransition result = WorkflowTransition.of(state);
        long lastSequence = incarnation.processedSequence();
        for (EndedRun endedRun : newlyEnded) {
            result = result.then(s -> RunCompletions.completed(s, event.worker(), endedRun));
            lastSequence = endedRun.sequence();
        }
        Incarnation answering =
                incarnation
                        .withBorn(report.incarnation())
                        .answered(event.at(), report.clockMillis(), contact.usedFence())
                        .withProcessedSequence(lastSequence);
        return result.then(
                        s ->
                                Fleet.incarnationAnswered(
                                        s, event.worker(), answering, report.allEndedListed()))
                .then(
                        s ->
                                WorkflowTransition.of(
                                        s.withPlacementDue(
                                                s.placementDue() || !contact.reached())));
    }

    private static WorkflowTransition reconcile(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        Map<TaskKey, RunningRun> runningRuns = new HashMap<>();
        for (RunningRun runningRun : event.report().running()) {
            runningRuns.put(runningRun.task(), runningRun);
        }
        WorkflowTransition result = WorkflowTransition.of(state);
        WorkerNode node = state.workers().get(event.worker());
        for (Map.Entry<TaskKey, WorkerNode.Charge> taskAndCharge : node.charges().entrySet()) {
            TaskKey key = taskAndCharge.getKey();
            RunningRun runningRun = runningRuns.remove(key);
            boolean isReported =
                    runningRun != null
                            && runningRun.runNumber() == taskAndCharge.getValue().runNumber();
            if (isReported) {
                result =
                        result.then(s -> confirmRun(s, event.worker(), key))
                                .then(s -> ServiceMoves.noteSpeed(s, event.worker(), runningRun));
            } else if (isMissing(taskAndCharge.getValue(), event)) {
                long missingRun = taskAndCharge.getValue().runNumber();
                result = result.then(s -> runMissing(s, event.worker(), key, missingRun));
            }
        }
        for (RunningRun runningRun : runningRuns.values()) {
            result = result.then(s -> unexpectedRun(s, event.worker(), runningRun));
        }
        return result;
    }

    /**
     * Returns whether a run that the worker does not report is certainly not active and has no
     * completion that the worker reports later: the worker has listed all completions, and the
     * renewal that it answered was sent after it had confirmed the newest command.
     */
    private static boolean isMissing(
            WorkerNode.Charge charge, WorkflowEvent.LeaseRenewalAnswered event) {
        return event.report().allEndedListed()
                && charge.sentAt() >= 0
                && charge.confirmedAt() >= 0
                && event.sentAt() > charge.confirmedAt();
    }

    private static WorkflowTransition confirmRun(WorkflowState state, String worker, TaskKey key) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge = node.charges().get(key);
        if (charge.stopping() || charge.confirmedAt() >= 0) {
            return WorkflowTransition.of(state);
        }
        Job job = state.jobs().get(key.job());
        WorkflowState next = state.with(node.withCharge(key, charge.withConfirmation(state.now())));
        boolean isStarting =
                job != null && job.hasTask(key) && job.task(key).phase() == Task.Phase.STARTING;
        return WorkflowTransition.of(
                isStarting
                        ? next.with(job.with(key, job.task(key).inPhase(Task.Phase.RUNNING)))
                        : next);
    }

    private static WorkflowTransition runMissing(
            WorkflowState state, String worker, TaskKey key, long runNumber) {
        WorkflowState next =
                RunCompletions.runLost(
                        RunCompletions.releaseCharge(state, worker, key, runNumber),
                        key,
                        runNumber);
        return WorkflowTransition.of(next)
                .with(
                        WorkflowEffect.LogEvent.of(
                                "task-gone", key, "run", runNumber, "worker", worker));
    }

    /**
     * Returns whether the newest known run of {@code task} is known only from the record of silent
     * workers. The earlier leader has started a newer run only after that run had ended.
     */
    private static boolean isRecordedRunOnly(WorkflowState state, Task task) {
        WorkerNode node = state.workers().get(task.worker());
        return task.phase() == Task.Phase.RUNNING && node != null && !node.contact().reached();
    }

    /**
     * Handles an active run that this leader did not start. Adopts the run if it is newer than the
     * known runs of its task, and the task is waiting or its known run was only recorded by an
     * earlier leader; stops the run otherwise.
     */
    private static WorkflowTransition unexpectedRun(
            WorkflowState state, String worker, RunningRun runningRun) {
        TaskKey key = runningRun.task();
        Job job = state.jobs().get(key.job());
        boolean isKnownTask = job != null && job.hasTask(key);
        boolean adoptable =
                isKnownTask
                        && job.isActive()
                        && (job.task(key).phase() == Task.Phase.WAITING
                                || isRecordedRunOnly(state, job.task(key)))
                        && runningRun.runNumber() > job.task(key).runNumber();
        WorkerNode node = state.workers().get(worker);
        Resources size =
                isKnownTask ? job.step(key.stepKey()).chargedCapacity() : node.listing().capacity();
        Optional<String> team = isKnownTask ? Optional.of(job.team()) : Optional.empty();
        WorkerNode.Charge charge =
                new WorkerNode.Charge(
                        runningRun.runNumber(), size, team, state.now(), false, state.now());
        WorkflowState withCharge = state.with(node.withCharge(key, charge));
        if (adoptable) {
            Task adopted = job.task(key).asRunning(worker, runningRun.runNumber());
            return WorkflowTransition.of(withCharge.with(job.with(key, adopted)))
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "task-adopted",
                                    key,
                                    "run",
                                    runningRun.runNumber(),
                                    "worker",
                                    worker));
        }
        return WorkerCommands.stop(withCharge, worker, key);
    }
}
