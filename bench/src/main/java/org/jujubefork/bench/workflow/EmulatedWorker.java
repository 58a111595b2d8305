package org.jujubefork.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;
import org.pcollections.TreePVector;

/** A worker of the emulator, which runs tasks and holds back answers until a run ends. */
final class EmulatedWorker {
    /** The only incarnation of each worker. */
    static final long INCARNATION = 1;

    private static final int FULL_SPEED_PERCENT = 100;

    final WorkerNode.Listing listing;
    private final Map<TaskKey, Long> runs = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private long nextSequence = 1;
    private Optional<WorkflowEffect.RenewLease> waitingRenewal = Optional.empty();

    EmulatedWorker(WorkerNode.Listing listing) {
        this.listing = listing;
    }

    void start(TaskKey task, long runNumber) {
        runs.put(task, runNumber);
    }

    /** Ends a run, if it is active, and returns whether it was. */
    boolean end(TaskKey task, long runNumber, RunOutcome outcome) {
        if (!runs.remove(task, runNumber)) {
            return false;
        }
        ended.add(new EndedRun(nextSequence++, task, runNumber, outcome, ""));
        return true;
    }

    /** Takes a lease renewal; it waits if it may and if there is nothing to report. */
    void renew(WorkflowEffect.RenewLease renewal) {
        ended.removeIf(e -> e.sequence() <= renewal.acknowledged());
        waitingRenewal = Optional.of(renewal);
    }

    /** Returns whether the worker has a run to report that has ended. */
    boolean hasEndedRuns() {
        return !ended.isEmpty();
    }

    /** Returns the waiting renewal, which is answered now, if there is one. */
    Optional<WorkflowEffect.RenewLease> takeRenewal() {
        Optional<WorkflowEffect.RenewLease> renewal = waitingRenewal;
        waitingRenewal = Optional.empty();
        return renewal;
    }

    boolean isWaiting(WorkflowEffect.RenewLease renewal) {
        return waitingRenewal.filter(r -> r == renewal).isPresent();
    }

    WorkerReport report(long now) {
        List<RunningRun> running = new ArrayList<>();
        runs.forEach((t, r) -> running.add(new RunningRun(t, r, "", FULL_SPEED_PERCENT)));
        return new WorkerReport(
                INCARNATION,
                now,
                TreePVector.from(running),
                TreePVector.from(List.copyOf(ended)),
                true);
    }
}
