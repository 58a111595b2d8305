package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunningRun;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;
import org.pcollections.TreePVector;

/** A worker of the simulation: fencing, leases, runs and their ends, as the platform has them. */
final class SimulatedWorker {
    /** A run that is there. */
    record Run(TaskKey task, long run, Resources size, long endsAt, RunOutcome how) {}

    final WorkerNode.Listing listing;
    private final Simulation world;
    private final Map<TaskKey, Run> runs = new HashMap<>();
    private final Map<TaskKey, Long> closed = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private final Map<Long, Run> failed = new HashMap<>();
    private final Map<Long, TaskKey> notable = new HashMap<>();
    private long born;
    private long fence;
    private long leaseUntil;
    private long nextEnd = 1;

    SimulatedWorker(Simulation world, WorkerNode.Listing listing) {
        this.world = world;
        this.listing = listing;
        this.born = 1;
    }

    Map<TaskKey, Run> runs() {
        advance();
        return runs;
    }

    Resources used() {
        return runs.values().stream().map(Run::size).reduce(Resources.ZERO, Resources::plus);
    }

    /** Ends what has finished, and everything when the lease is over. */
    void advance() {
        long now = world.now();
        for (Run run : List.copyOf(runs.values())) {
            if (run.endsAt() <= Math.min(now, leaseUntil)) {
                end(run, run.how());
            }
        }
        if (now > leaseUntil) {
            List.copyOf(runs.values()).forEach(r -> end(r, RunOutcome.LAPSED));
            // An end counts as noted only if the lease holds until it is acknowledged.
            notable.clear();
            failed.clear();
        }
    }

    private void end(Run run, RunOutcome planned) {
        RunOutcome how = planned == RunOutcome.DONE ? world.safety.gangEnd(run) : planned;
        close(run, how);
        if (how == RunOutcome.DONE) {
            world.safety.gangDone(run);
        }
    }

    /** Ends a member of a gang whose end another member has brought about. */
    void endWith(Run run, RunOutcome how) {
        if (run.equals(runs.get(run.task()))) {
            close(run, how);
        }
    }

    Run present(TaskKey task) {
        return runs.get(task);
    }

    private void close(Run run, RunOutcome how) {
        runs.remove(run.task());
        closed.merge(run.task(), run.run(), Math::max);
        ended.add(new EndedRun(nextEnd++, run.task(), run.run(), how, ""));
        if (how == RunOutcome.FAILED) {
            failed.put(nextEnd - 1, run);
            world.safety.failed(run.task(), run.run());
        }
        if (how == RunOutcome.DONE) {
            notable.put(nextEnd - 1, run.task());
            world.safety.ended(run.task());
        }
    }

    long born() {
        return born;
    }

    /** Starts anew under the same identifier; nothing of before is known. */
    void restart() {
        born++;
        runs.clear();
        closed.clear();
        ended.clear();
        notable.clear();
        failed.clear();
        fence = 0;
        nextEnd = 1;
        leaseUntil = 0;
    }

    WorkerReport hold(WorkflowEffect.RenewLease hold) {
        advance();
        if (hold.fence() < fence) {
            return null;
        }
        fence = hold.fence();
        hold.until().ifPresent(u -> leaseUntil = Math.max(leaseUntil, u));
        ended.removeIf(e -> e.number() <= hold.acknowledged());
        for (long number : List.copyOf(failed.keySet())) {
            if (number <= hold.acknowledged()) {
                Run run = failed.remove(number);
                world.safety.notedFailure(run.task(), run.run());
            }
        }
        for (long number : List.copyOf(notable.keySet())) {
            if (number <= hold.acknowledged()) {
                world.safety.noted(notable.remove(number));
            }
        }
        return new WorkerReport(
                born,
                world.now(),
                TreePVector.from(
                        runs.values().stream()
                                .map(r -> new RunningRun(r.task(), r.run(), "", 100))
                                .toList()),
                TreePVector.from(ended));
    }

    CommandOutcome start(WorkflowEffect.Start start, Resources size, long millis, RunOutcome how) {
        advance();
        if (start.fence() < fence) {
            return CommandOutcome.FENCED;
        }
        fence = start.fence();
        TaskKey task = start.order().task();
        long run = start.order().run();
        Run there = runs.get(task);
        if (there != null && there.run() == run) {
            return CommandOutcome.OK;
        }
        if (start.until() <= world.now()) {
            return CommandOutcome.LATE;
        }
        if (run <= closed.getOrDefault(task, 0L) || there != null) {
            return CommandOutcome.OLD;
        }
        leaseUntil = Math.max(leaseUntil, start.until());
        world.safety.checkStart(this, task, size);
        runs.put(task, new Run(task, run, size, world.now() + millis, how));
        return CommandOutcome.OK;
    }

    CommandOutcome stop(WorkflowEffect.Stop stop) {
        advance();
        if (stop.fence() < fence) {
            return CommandOutcome.FENCED;
        }
        fence = stop.fence();
        TaskKey task = stop.order().task();
        closed.merge(task, stop.order().run(), Math::max);
        Run there = runs.get(task);
        if (there != null && there.run() <= stop.order().run()) {
            end(there, RunOutcome.STOPPED);
        }
        return CommandOutcome.OK;
    }
}
