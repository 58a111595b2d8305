package org.jujubefork.standins.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.client.worker.RefusalStatus;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.WorkKind;

/** A worker's behaviour as a pure function of its state, a command and the time. */
final class WorkerTransitions {
    private static final String STALE_EPOCH = StartRefusal.STALE_EPOCH.name();

    private final boolean enforceCapacity;
    private final boolean ignoreEpochs;
    private final long usageLagNanos;

    /** With {@code enforceCapacity}, a start above the capacity is refused, not only recorded. */
    WorkerTransitions(boolean enforceCapacity) {
        this(enforceCapacity, false, 0);
    }

    /**
     * With {@code ignoreEpochs}, commands of lower epochs are obeyed; tests use it to see that the
     * checkers notice what the epochs prevent. Reports show the usage of {@code usageLagNanos} ago.
     */
    WorkerTransitions(boolean enforceCapacity, boolean ignoreEpochs, long usageLagNanos) {
        this.enforceCapacity = enforceCapacity;
        this.ignoreEpochs = ignoreEpochs;
        this.usageLagNanos = usageLagNanos;
    }

    /** Ends what is due and then executes the command. */
    WorkerStep apply(WorkerState before, WorkerCommand command, long nowNanos) {
        Work work = new Work(before, nowNanos, ignoreEpochs, usageLagNanos);
        work.passTime();
        WorkerOutcome outcome =
                switch (command) {
                    case WorkerCommand.Lease lease -> work.lease(lease);
                    case WorkerCommand.Renew renew -> work.renew(renew);
                    case WorkerCommand.Start start -> work.start(start, enforceCapacity);
                    case WorkerCommand.Stop stop ->
                            work.endTask(stop.epoch(), stop.task(), EndReason.STOPPED);
                    case WorkerCommand.Checkpoint c ->
                            work.endTask(c.epoch(), c.task(), EndReason.CHECKPOINTED);
                    case WorkerCommand.Throttle throttle -> work.throttle(throttle);
                    case WorkerCommand.Tick t -> new WorkerOutcome.Accepted();
                    case WorkerCommand.SetLeaving leaving ->
                            work.faults(leaving.on(), work.state.failStarts());
                    case WorkerCommand.SetFailStarts fail ->
                            work.faults(work.state.leaving(), fail.on());
                    case WorkerCommand.Restart r -> work.restart();
                };
        return new WorkerStep(
                work.state,
                outcome,
                List.copyOf(work.notes),
                List.copyOf(work.ended),
                List.copyOf(work.lost));
    }

    /** Local variables of one command. */
    private static final class Work {
        private final long now;
        private final boolean ignoreEpochs;
        private final long usageLagNanos;
        private final List<WorkerStep.Note> notes = new ArrayList<>();
        private final List<EndedTask> ended = new ArrayList<>();
        private final List<TaskId> lost = new ArrayList<>();
        private WorkerState state;

        Work(WorkerState state, long now, boolean ignoreEpochs, long usageLagNanos) {
            this.state = state;
            this.now = now;
            this.ignoreEpochs = ignoreEpochs;
            this.usageLagNanos = usageLagNanos;
        }

        void passTime() {
            OptionalLong leaseEnds = state.leaseEndsNanos();
            for (SimulatedTask task : List.copyOf(state.running().values())) {
                // A task that was due before the lease lapsed ended by itself.
                if (task.isDue(now)
                        && (leaseEnds.isEmpty() || task.endsNanos() <= leaseEnds.getAsLong())) {
                    finish(task);
                }
            }
            if (leaseEnds.isPresent() && leaseEnds.getAsLong() - now <= 0) {
                state = state.withoutLease();
                for (SimulatedTask task : List.copyOf(state.running().values())) {
                    end(task, EndReason.LEASE_EXPIRED, "lease lapsed");
                    notes.add(Notes.due(notes.removeLast(), leaseEnds.getAsLong()));
                }
            }
        }

        private void finish(SimulatedTask task) {
            boolean fail = task.behavior().fail();
            end(
                    task,
                    fail ? EndReason.FAILED : EndReason.SUCCEEDED,
                    fail ? task.behavior().failMessage() : "");
        }

        private void end(SimulatedTask task, EndReason reason, String message) {
            TaskSpec spec = task.spec();
            EndedTask end = new EndedTask(spec, reason, message, task.peak(), task.ageMillis(now));
            state =
                    state.withTasks(
                            state.running().minus(spec.id()), state.ended().plus(spec.id(), end));
            ended.add(end);
            notes.add(Notes.end(state, spec, reason.name()));
        }

        WorkerOutcome lease(WorkerCommand.Lease lease) {
            Optional<Epoch> current = state.epoch();
            if (!ignoreEpochs && current.isPresent() && current.get().isAbove(lease.epoch())) {
                return refuse("lease", "", lease.epoch(), 409, STALE_EPOCH, "higher epoch known");
            }
            state = state.withLease(lease.epoch(), OptionalLong.of(now + lease.ttlNanos()));
            state = state.withLog(observed().leased());
            notes.add(Notes.lease(state, lease.epoch()));
            return new WorkerOutcome.Accepted();
        }

        WorkerOutcome renew(WorkerCommand.Renew renew) {
            if (isForeign(renew.epoch())) {
                return refuse("renew", "", renew.epoch(), 409, STALE_EPOCH, "another epoch");
            }
            if (state.leaseEndsNanos().isEmpty()) {
                return refuse("renew", "", renew.epoch(), 409, "NO_LEASE", "no lease to renew");
            }
            state =
                    state.withLease(renew.epoch(), OptionalLong.of(now + renew.ttlNanos()))
                            .withTasks(
                                    state.running(), state.ended().minusAll(renew.acknowledged()));
            state = state.withLog(observed().confirmed(renew.seen()));
            return new WorkerOutcome.Accepted();
        }

        private ReportLog observed() {
            return state.log().observed(state.running().values(), now, usageLagNanos);
        }

        WorkerOutcome start(WorkerCommand.Start start, boolean enforceCapacity) {
            TaskSpec spec = start.spec();
            Resources used = state.used().plus(spec.size());
            boolean over = !used.fitsIn(state.spec().capacity());
            Optional<StartRefusal> refusal = refusal(start, over && enforceCapacity);
            if (refusal.isPresent()) {
                return refuse(
                        "start",
                        spec.id().value(),
                        start.epoch(),
                        RefusalStatus.of(refusal.get()),
                        refusal.get().name(),
                        "start refused");
            }
            long runNanos = TimeUnit.MILLISECONDS.toNanos(start.behavior().runMillis().orElse(0));
            boolean endless =
                    spec.kind() == WorkKind.SERVICE && start.behavior().runMillis().isEmpty();
            SimulatedTask task =
                    new SimulatedTask(
                            spec,
                            start.behavior(),
                            now,
                            endless ? SimulatedTask.NEVER : now + runNanos,
                            Long.MAX_VALUE);
            state =
                    state.withTasks(state.running().plus(spec.id(), task), state.ended())
                            .knowing(spec.id());
            notes.add(Notes.start(state, start));
            if (over) {
                notes.add(Notes.overcommit(state, spec, used));
            }
            if (state.failStarts()) {
                end(task, EndReason.FAILED, "start failed");
            } else if (task.isDue(now)) {
                finish(task);
            }
            return new WorkerOutcome.Accepted();
        }

        private Optional<StartRefusal> refusal(WorkerCommand.Start start, boolean noCapacity) {
            TaskId id = start.spec().id();
            if (isForeign(start.epoch())) {
                return Optional.of(StartRefusal.STALE_EPOCH);
            }
            if (start.incarnation() != state.incarnation()) {
                return Optional.of(StartRefusal.WRONG_INCARNATION);
            }
            // After the incarnation, so that an owner learns of a restart and not of a lost epoch.
            if (state.leaseEndsNanos().isEmpty()) {
                return Optional.of(StartRefusal.STALE_EPOCH);
            }
            if (state.known().contains(id)) {
                return Optional.of(StartRefusal.DUPLICATE);
            }
            if (state.leaving()) {
                return Optional.of(StartRefusal.LEAVING);
            }
            if (start.spec().kind().isRequest()
                    && state.runningRequests() >= state.spec().slots()) {
                return Optional.of(StartRefusal.NO_SLOT);
            }
            return noCapacity ? Optional.of(StartRefusal.NO_CAPACITY) : Optional.empty();
        }

        WorkerOutcome endTask(Epoch epoch, TaskId id, EndReason reason) {
            SimulatedTask task = state.running().get(id);
            WorkerOutcome result = check(reason.name(), epoch, id, task);
            if (task != null && result instanceof WorkerOutcome.Accepted) {
                end(task, reason, "");
            }
            if (!isForeign(epoch)) {
                // A start that is still under way must not take effect after its stop was answered.
                state = state.knowing(id);
            }
            return result;
        }

        WorkerOutcome throttle(WorkerCommand.Throttle throttle) {
            SimulatedTask task = state.running().get(throttle.task());
            WorkerOutcome result = check("throttle", throttle.epoch(), throttle.task(), task);
            if (task != null && result instanceof WorkerOutcome.Accepted) {
                state =
                        state.withTasks(
                                state.running()
                                        .plus(
                                                throttle.task(),
                                                task.throttled(throttle.cpuMillis())),
                                state.ended());
            }
            return result;
        }

        private WorkerOutcome check(String command, Epoch epoch, TaskId id, SimulatedTask task) {
            if (isForeign(epoch)) {
                return refuse(command, id.value(), epoch, 409, STALE_EPOCH, "another epoch");
            }
            return task == null
                    ? refuse(command, id.value(), epoch, 404, "NO_SUCH_TASK", "not running")
                    : new WorkerOutcome.Accepted();
        }

        /** Returns whether the worker obeys another epoch; one without an epoch obeys none. */
        private boolean isForeign(Epoch epoch) {
            return !ignoreEpochs && state.epoch().isPresent() && !state.epoch().get().equals(epoch);
        }

        WorkerOutcome faults(boolean leaving, boolean failStarts) {
            state = state.withFaults(leaving, failStarts);
            return new WorkerOutcome.Accepted();
        }

        WorkerOutcome restart() {
            for (SimulatedTask task : state.running().values()) {
                lost.add(task.spec().id());
                notes.add(Notes.end(state, task.spec(), "RESTARTED"));
            }
            state = state.restarted();
            notes.add(Notes.worker(state));
            return new WorkerOutcome.Accepted();
        }

        private WorkerOutcome refuse(
                String command,
                String task,
                Epoch epoch,
                int status,
                String error,
                String message) {
            notes.add(Notes.refusal(state, command, task, epoch, error));
            return new WorkerOutcome.Refused(status, error, message);
        }
    }
}
