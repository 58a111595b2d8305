package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;

/**
 * The calls of the entries of the simulation to its workers. Answers are delayed or lost, and
 * commands are carried out late.
 */
final class SimulatedWorkerCalls {
    private final Simulation simulation;
    private final List<CommandOutcome> lateOutcomes = new ArrayList<>();

    SimulatedWorkerCalls(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Returns whether a call is lost because the worker has restarted since the last call. */
    private boolean isBroken(SimulatedEntry entry, String worker) {
        long incarnation = simulation.workers.get(worker).incarnation();
        Long previousIncarnation = entry.workerConnections.put(worker, incarnation);
        return previousIncarnation != null && previousIncarnation != incarnation;
    }

    void renewLease(SimulatedEntry entry, int boot, WorkflowEffect.RenewLease renewal) {
        String id = renewal.worker().id();
        long sentAt = simulation.now();
        boolean broken = isBroken(entry, id);
        boolean lost =
                !simulation.workers.get(id).isReachable() || simulation.randomly(0.02) || broken;
        long incarnation = simulation.workers.get(id).incarnation();
        if (lost) {
            boolean arrives =
                    !broken && simulation.workers.get(id).isUp() && simulation.randomly(0.5);
            if (arrives) {
                simulation.after(
                        simulation.latency(),
                        () -> renewWithoutAnswer(simulation.workers.get(id), incarnation, renewal));
            }
            renewInLaterIncarnation(id, renewal);
            simulation.after(
                    1_000 + renewal.maxWaitMillis(),
                    () -> renewalFailed(entry, boot, renewal, CommandOutcome.UNKNOWN));
            return;
        }
        simulation.after(
                simulation.latency() + Math.min(renewal.maxWaitMillis(), 200),
                () -> {
                    if (simulation.workers.get(id).incarnation() != incarnation) {
                        renewInLaterIncarnation(id, renewal);
                        renewalFailed(entry, boot, renewal, CommandOutcome.UNKNOWN);
                        return;
                    }
                    WorkerReport report = simulation.workers.get(id).renewLease(renewal);
                    simulation.after(
                            simulation.latency(),
                            () -> {
                                if (report == null) {
                                    renewalFailed(entry, boot, renewal, CommandOutcome.FENCED);
                                } else {
                                    simulation.post(
                                            entry,
                                            boot,
                                            new WorkflowEvent.LeaseRenewalAnswered(
                                                    simulation.now(),
                                                    renewal.leaderFence(),
                                                    sentAt,
                                                    id,
                                                    report));
                                }
                            });
                });
    }

    /** Carries out an unanswered renewal seconds later, whichever incarnation there is then. */
    private void renewInLaterIncarnation(String id, WorkflowEffect.RenewLease renewal) {
        if (!simulation.renewalsOutliveRestarts || !simulation.random.nextBoolean()) {
            return;
        }
        simulation.after(
                lateMillis(),
                () -> {
                    if (simulation.workers.get(id).isUp()) {
                        simulation.workers.get(id).renewLease(renewal);
                    }
                });
    }

    private long lateMillis() {
        return 500 + simulation.random.nextInt(6_000);
    }

    private static void renewWithoutAnswer(
            SimulatedWorker worker, long incarnation, WorkflowEffect.RenewLease renewal) {
        if (worker.incarnation() == incarnation) {
            worker.renewLease(renewal);
        }
    }

    private void renewalFailed(
            SimulatedEntry entry,
            int boot,
            WorkflowEffect.RenewLease renewal,
            CommandOutcome outcome) {
        simulation.post(
                entry,
                boot,
                new WorkflowEvent.LeaseRenewalFailed(
                        simulation.now(),
                        renewal.leaderFence(),
                        renewal.worker().id(),
                        renewal.worker().address(),
                        outcome));
    }

    void start(SimulatedEntry entry, int boot, WorkflowEffect.Start start) {
        SimulatedWorker worker = simulation.workers.get(start.worker().id());
        WorkflowDefinition job = simulation.submittedDefinitions.get(start.command().task().job());
        StepDefinition step = job.steps().get(start.command().task().step());
        long durationMillis = 100 + simulation.random.nextInt(simulation.maxRunMillis);
        RunOutcome outcome =
                simulation.random.nextInt(simulation.runsPerFailure) == 0
                        ? RunOutcome.FAILED
                        : RunOutcome.DONE;
        sendCommand(
                entry,
                boot,
                start.command(),
                start.leaderFence(),
                worker,
                () -> worker.start(start, step.size(), durationMillis, outcome));
    }

    void stop(SimulatedEntry entry, int boot, WorkflowEffect.Stop stop) {
        SimulatedWorker worker = simulation.workers.get(stop.worker().id());
        sendCommand(
                entry, boot, stop.command(), stop.leaderFence(), worker, () -> worker.stop(stop));
    }

    private void sendCommand(
            SimulatedEntry entry,
            int boot,
            WorkflowEvent.WorkerCommand command,
            long fence,
            SimulatedWorker worker,
            Supplier<CommandOutcome> action) {
        boolean partitioned = !worker.isReachable();
        boolean late = simulation.randomly(0.05);
        long incarnation = worker.incarnation();
        if (partitioned || late) {
            if (late) {
                // The command is carried out up to seconds later, possibly after newer commands.
                simulation.after(
                        lateMillis(),
                        () -> {
                            boolean isCarriedOut =
                                    simulation.commandsOutliveRestarts
                                            ? worker.isUp()
                                            : worker.incarnation() == incarnation;
                            if (isCarriedOut) {
                                lateOutcomes.add(action.get());
                            }
                        });
            }
            simulation.after(
                    700,
                    () ->
                            simulation.post(
                                    entry,
                                    boot,
                                    completed(command, fence, CommandOutcome.UNKNOWN)));
            return;
        }
        simulation.after(
                simulation.latency(),
                () -> {
                    // The connection breaks when the worker restarts.
                    boolean broken = worker.incarnation() != incarnation;
                    CommandOutcome outcome = broken ? CommandOutcome.UNKNOWN : action.get();
                    boolean lost = simulation.randomly(0.02);
                    simulation.after(
                            lost ? 700 : simulation.latency(),
                            () ->
                                    simulation.post(
                                            entry,
                                            boot,
                                            completed(
                                                    command,
                                                    fence,
                                                    lost ? CommandOutcome.UNKNOWN : outcome)));
                });
    }

    private WorkflowEvent completed(
            WorkflowEvent.WorkerCommand command, long fence, CommandOutcome outcome) {
        return new WorkflowEvent.CommandCompleted(simulation.now(), fence, command, outcome);
    }
}
