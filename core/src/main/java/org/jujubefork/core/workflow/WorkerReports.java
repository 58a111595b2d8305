package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/** Takes in what workers say they run. */
final class WorkerReports {
    private WorkerReports() {}

    static WorkflowTransition answered(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        WorkerNode node = state.workers().get(event.worker());
        if (node == null || !state.leadership().leads()) {
            return WorkflowTransition.of(state);
        }
        boolean reborn =
                node.contact().born() != 0 && node.contact().born() != event.report().born();
        WorkflowTransition result =
                reborn ? Fleet.restarted(state, event.worker()) : WorkflowTransition.of(state);
        boolean first = !node.contact().reached();
        if (!state.commits().listsWorker(event.worker())) {
            WorkflowState noted = result.state();
            result = result.withState(noted.with(noted.commits().withFleetDirty()));
        }
        result = result.then(s -> takeEnds(s, event));
        result = result.then(s -> reconcile(s, event));
        return first
                ? result.with(
                        WorkflowEffect.LogEvent.of(
                                "worker-reached",
                                event.worker(),
                                "born",
                                event.report().born(),
                                "running",
                                event.report().running().size(),
                                "ended",
                                event.report().ended().size(),
                                "recovered",
                                Fleet.isRecovered(result.state())))
                : result;
    }

    private static WorkflowTransition takeEnds(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        WorkerReport report = event.report();
        WorkerNode.Contact contact = state.workers().get(event.worker()).contact();
        List<EndedRun> fresh =
                report.ended().stream()
                        .filter(e -> e.number() > contact.seen())
                        .sorted(Comparator.comparingLong(EndedRun::number))
                        .toList();
        WorkflowTransition result = WorkflowTransition.of(state);
        long seen = contact.seen();
        for (EndedRun end : fresh) {
            result = result.then(s -> RunCompletions.ended(s, event.worker(), end));
            seen = end.number();
        }
        WorkerNode node = result.state().workers().get(event.worker());
        WorkerNode.Contact answered =
                node.contact()
                        .answered(
                                report.born(),
                                report.clockMillis() - event.at(),
                                state.now(),
                                seen);
        return result.withState(
                result.state()
                        .with(node.with(answered))
                        .withPlacementDue(result.state().placementDue() || !contact.reached()));
    }

    private static WorkflowTransition reconcile(
            WorkflowState state, WorkflowEvent.LeaseRenewalAnswered event) {
        Map<TaskKey, RunningRun> running = new HashMap<>();
        for (RunningRun run : event.report().running()) {
            running.put(run.task(), run);
        }
        WorkflowTransition result = WorkflowTransition.of(state);
        WorkerNode node = state.workers().get(event.worker());
        for (Map.Entry<TaskKey, WorkerNode.Charge> entry : node.charges().entrySet()) {
            TaskKey key = entry.getKey();
            RunningRun run = running.remove(key);
            boolean shown = run != null && run.run() == entry.getValue().run();
            if (shown) {
                result = result.then(s -> confirm(s, event.worker(), key));
            } else if (isGone(entry.getValue(), event.sentAt())) {
                long number = entry.getValue().run();
                result = result.then(s -> gone(s, event.worker(), key, number));
            }
        }
        for (RunningRun run : running.values()) {
            result = result.then(s -> unexpected(s, event.worker(), run));
        }
        return result;
    }

    /**
     * A call sent after the worker had confirmed the newest order shows whether the run is there.
     */
    private static boolean isGone(WorkerNode.Charge charge, long sentAt) {
        return charge.sentAt() >= 0 && charge.confirmedAt() >= 0 && sentAt > charge.confirmedAt();
    }

    private static WorkflowTransition confirm(WorkflowState state, String worker, TaskKey key) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge = node.charges().get(key);
        if (charge.stopping() || charge.confirmedAt() >= 0) {
            return WorkflowTransition.of(state);
        }
        Job job = state.jobs().get(key.job());
        WorkflowState next = state.with(node.charge(key, charge.confirmed(state.now())));
        boolean starting =
                job != null && job.hasTask(key) && job.task(key).phase() == Task.Phase.STARTING;
        return WorkflowTransition.of(
                starting ? next.with(job.with(key, job.task(key).in(Task.Phase.RUNNING))) : next);
    }

    private static WorkflowTransition gone(
            WorkflowState state, String worker, TaskKey key, long run) {
        WorkflowState next =
                RunCompletions.lost(RunCompletions.release(state, worker, key, run), key, run);
        return WorkflowTransition.of(next)
                .with(WorkflowEffect.LogEvent.of("task-gone", key, "run", run, "worker", worker));
    }

    /** Something runs that this leader did not start: an earlier leader did. */
    private static WorkflowTransition unexpected(
            WorkflowState state, String worker, RunningRun found) {
        TaskKey key = found.task();
        Job job = state.jobs().get(key.job());
        boolean known = job != null && job.hasTask(key);
        boolean wanted =
                known
                        && job.isActive()
                        && job.task(key).phase() == Task.Phase.WAITING
                        && found.run() > job.task(key).run();
        WorkerNode node = state.workers().get(worker);
        Resources size = known ? job.step(key.stepKey()).charged() : node.listing().room();
        String team = known ? job.team() : "";
        WorkerNode.Charge charge =
                new WorkerNode.Charge(found.run(), size, team, state.now(), false, state.now());
        WorkflowState charged = state.with(node.charge(key, charge));
        if (wanted) {
            Task adopted = job.task(key).adopted(worker, found.run());
            return WorkflowTransition.of(charged.with(job.with(key, adopted)))
                    .with(
                            WorkflowEffect.LogEvent.of(
                                    "task-adopted", key, "run", found.run(), "worker", worker));
        }
        return WorkerCommands.stop(charged, worker, key);
    }
}
