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

/**
 * A worker of the simulation. Checks fencing tokens, enforces leases, and reports runs and
 * completions as the workers of the platform do.
 */
final class SimulatedWorker {
    /** Longest lease that a worker of the platform holds. */
    private static final long MAX_LEASE_MILLIS = 10_000;

    /** An active run. */
    record Run(TaskKey task, long runNumber, Resources size, long endsAt, RunOutcome outcome) {}

    WorkerNode.Listing listing;

    /** Silence after which the entry of a worker is removed: three intervals of its heartbeat. */
    private static final long ENTRY_TTL_MILLIS = 4_500;

    /** Whether the worker has not left for good. */
    boolean listed = true;

    /** Since when its entry says that it drains. */
    long drainingSince = Long.MAX_VALUE;

    /** Whether its entry was removed because the worker is silent. */
    private boolean isEntryExpired;

    /** Whether the process runs; a process that does not run answers no calls. */
    private boolean isUp = true;

    private final Simulation simulation;
    private final Map<TaskKey, Run> runs = new HashMap<>();
    private final Map<TaskKey, Long> highestEndedRuns = new HashMap<>();
    private final List<EndedRun> unacknowledgedEndedRuns = new ArrayList<>();
    private final Map<Long, Run> unacknowledgedFailures = new HashMap<>();
    private final Map<Long, TaskKey> unacknowledgedCompletions = new HashMap<>();
    private long incarnation;

    /** When the incarnation started; its clock shows the time since then. */
    private long startedAt;

    private long fence;

    /** The largest capacity of this and the earlier incarnations. */
    private Resources largestCapacity;

    /** The highest fencing token that earlier incarnations have seen. */
    private long earlierFence;

    /** When the lease expires, in the time of the simulation. */
    private long leaseExpiry;

    private long nextSequence = 1;

    SimulatedWorker(Simulation simulation, WorkerNode.Listing listing) {
        this.simulation = simulation;
        this.listing = listing;
        this.incarnation = 1;
        this.largestCapacity = listing.capacity();
    }

    Map<TaskKey, Run> runs() {
        advance();
        return runs;
    }

    Resources used() {
        return runs.values().stream().map(Run::size).reduce(Resources.ZERO, Resources::plus);
    }

    /** Ends the runs that have reached their planned end, and all runs if the lease has expired. */
    void advance() {
        long now = simulation.now();
        for (Run run : List.copyOf(runs.values())) {
            if (run.endsAt() <= Math.min(now, leaseExpiry)) {
                end(run, run.outcome());
            }
        }
        if (now > leaseExpiry) {
            List.copyOf(runs.values()).forEach(r -> end(r, RunOutcome.LAPSED));
            // An acknowledgement counts only if the lease stays valid from the completion until the
            // acknowledgement.
            unacknowledgedCompletions.clear();
            unacknowledgedFailures.clear();
        }
    }

    private void end(Run run, RunOutcome plannedOutcome) {
        RunOutcome outcome =
                plannedOutcome == RunOutcome.DONE
                        ? simulation.safetyChecker.gangOutcome(run)
                        : plannedOutcome;
        recordEnd(run, outcome);
        if (outcome == RunOutcome.DONE) {
            simulation.safetyChecker.completeGang(run);
        }
    }

    /** Ends a member of a gang because another member has ended. */
    void endWithGang(Run run, RunOutcome outcome) {
        if (run.equals(runs.get(run.task()))) {
            recordEnd(run, outcome);
        }
    }

    Run activeRun(TaskKey task) {
        return runs.get(task);
    }

    private void recordEnd(Run run, RunOutcome outcome) {
        runs.remove(run.task());
        highestEndedRuns.merge(run.task(), run.runNumber(), Math::max);
        unacknowledgedEndedRuns.add(
                new EndedRun(nextSequence++, run.task(), run.runNumber(), outcome, ""));
        if (outcome == RunOutcome.FAILED) {
            unacknowledgedFailures.put(nextSequence - 1, run);
            simulation.safetyChecker.runFailed(run.task(), run.runNumber());
        }
        if (outcome == RunOutcome.DONE) {
            unacknowledgedCompletions.put(nextSequence - 1, run.task());
            simulation.safetyChecker.taskCompleted(run.task());
        }
    }

    Resources largestCapacity() {
        return largestCapacity;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isUp() {
        return isUp;
    }

    boolean isReachable() {
        return isUp && !simulation.partitionedWorkers.contains(listing.id());
    }

    /** Ends the process; all runs end. The worker answers no calls until {@link #comeBack}. */
    void crash() {
        restart();
        isUp = false;
        long crashed = incarnation;
        simulation.after(ENTRY_TTL_MILLIS, () -> isEntryExpired = !isUp && incarnation == crashed);
    }

    /** Returns whether the worker list contains the worker. */
    boolean hasEntry() {
        return listed && !isEntryExpired;
    }

    /** Starts the process again under the same identifier. */
    void comeBack() {
        restart();
        isUp = true;
        isEntryExpired = false;
    }

    /** Restarts the worker under the same identifier; all earlier state is lost. */
    void restart() {
        incarnation++;
        listing = listing.withBorn(incarnation);
        largestCapacity = largestCapacity.max(listing.capacity());
        runs.clear();
        highestEndedRuns.clear();
        unacknowledgedEndedRuns.clear();
        unacknowledgedCompletions.clear();
        unacknowledgedFailures.clear();
        startedAt = simulation.now();
        earlierFence = Math.max(earlierFence, fence);
        fence = 0;
        nextSequence = 1;
        leaseExpiry = 0;
    }

    private long clockMillis() {
        return simulation.now() - startedAt;
    }

    /**
     * Extends the lease to {@code expiry}, a time of this incarnation's clock. The worker shortens
     * a longer lease to the platform's maximum.
     */
    private void extendLease(long expiry) {
        long remaining = Math.min(expiry - clockMillis(), MAX_LEASE_MILLIS);
        leaseExpiry = Math.max(leaseExpiry, simulation.now() + remaining);
    }

    WorkerReport renewLease(WorkflowEffect.RenewLease renewal) {
        advance();
        if (renewal.fence() < fence) {
            return null;
        }
        fence = renewal.fence();
        renewal.expiry().ifPresent(this::extendLease);
        unacknowledgedEndedRuns.removeIf(e -> e.sequence() <= renewal.acknowledged());
        for (long sequence : List.copyOf(unacknowledgedFailures.keySet())) {
            if (sequence <= renewal.acknowledged()) {
                Run run = unacknowledgedFailures.remove(sequence);
                simulation.safetyChecker.failureAcknowledged(run.task(), run.runNumber());
            }
        }
        for (long sequence : List.copyOf(unacknowledgedCompletions.keySet())) {
            if (sequence <= renewal.acknowledged()) {
                simulation.safetyChecker.completionAcknowledged(
                        unacknowledgedCompletions.remove(sequence));
            }
        }
        return new WorkerReport(
                incarnation,
                clockMillis(),
                TreePVector.from(
                        runs.values().stream()
                                .map(r -> new RunningRun(r.task(), r.runNumber(), "", 100))
                                .toList()),
                TreePVector.from(listedEndedRuns()),
                unacknowledgedEndedRuns.size() < simulation.maxListedEndedRuns);
    }

    private List<EndedRun> listedEndedRuns() {
        int count = Math.min(simulation.maxListedEndedRuns, unacknowledgedEndedRuns.size());
        return unacknowledgedEndedRuns.subList(0, count);
    }

    CommandOutcome start(
            WorkflowEffect.Start start, Resources size, long durationMillis, RunOutcome outcome) {
        advance();
        if (start.fence() < fence) {
            return CommandOutcome.FENCED;
        }
        fence = start.fence();
        TaskKey task = start.command().task();
        long runNumber = start.command().runNumber();
        Run active = runs.get(task);
        if (active != null && active.runNumber() == runNumber) {
            return CommandOutcome.OK;
        }
        if (start.leaseExpiry() <= clockMillis()) {
            return CommandOutcome.LATE;
        }
        if (runNumber <= highestEndedRuns.getOrDefault(task, 0L) || active != null) {
            extendLease(start.leaseExpiry());
            return CommandOutcome.OLD;
        }
        if (simulation.advice.isTicketMissing(this, start)) {
            return CommandOutcome.NO_TICKET;
        }
        extendLease(start.leaseExpiry());
        // A leader raises the token once it knows of a restart.
        boolean isRestartKnown = start.fence() > earlierFence;
        if (isRestartKnown || simulation.checksUnawareStarts) {
            simulation.safetyChecker.checkKind(this, task, size);
        }
        simulation.safetyChecker.checkStart(this, task, size);
        runs.put(task, new Run(task, runNumber, size, simulation.now() + durationMillis, outcome));
        return CommandOutcome.OK;
    }

    CommandOutcome stop(WorkflowEffect.Stop stop) {
        advance();
        if (stop.fence() < fence) {
            return CommandOutcome.FENCED;
        }
        fence = stop.fence();
        TaskKey task = stop.command().task();
        highestEndedRuns.merge(task, stop.command().runNumber(), Math::max);
        Run active = runs.get(task);
        if (active != null && active.runNumber() <= stop.command().runNumber()) {
            end(active, RunOutcome.STOPPED);
        }
        return CommandOutcome.OK;
    }
}
