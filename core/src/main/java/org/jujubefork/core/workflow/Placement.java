package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.StepProgress.Ticket;
import org.pcollections.PVector;

/** Decides which tasks run on which workers, and starts them. */
public final class Placement {
    /** A step that has tasks to place, with the expected duration of each of them. */
    record Candidate(
            StepKey key,
            Job job,
            StepDefinition definition,
            StepProgress progress,
            Queue queue,
            Urgency.Standing standing,
            long expectedMillis) {
        Urgency.Rank rank() {
            return standing.rank();
        }

        /** Returns a copy with {@code other} as the standing. */
        Candidate with(Urgency.Standing other) {
            return new Candidate(key, job, definition, progress, queue, other, expectedMillis);
        }

        /** Returns the expected CPU time of the waiting tasks, in millicores times milliseconds. */
        long waitingWork() {
            return progress.waitingCount() * definition.size().cpuMillis() * expectedMillis;
        }

        /** Returns the CPU that the waiting tasks occupy when all of them run, in millicores. */
        long waitingMillicores() {
            return progress.waitingCount() * definition.chargedCapacity().cpuMillis();
        }
    }

    private Placement() {}

    static WorkflowTransition run(WorkflowState state) {
        PassWaits waits = PassWaits.of(state);
        WorkflowTransition result = Fleet.noteRecovery(state).then(s -> startAllAssigned(s, waits));
        List<Candidate> candidates = new ArrayList<>();
        boolean recovered = Fleet.isRecovered(result.state());
        for (Job job : result.state().jobs().values()) {
            result =
                    result.then(
                            s ->
                                    FailureIsolation.isolate(
                                            s,
                                            job.id(),
                                            waits,
                                            () ->
                                                    addCandidates(
                                                            s, job, recovered, waits, candidates)));
        }
        candidates.sort(result.state().policies().order().waiting());
        PassCapacity capacity = PassCapacity.of(result.state());
        ShareRounds rounds = new ShareRounds(capacity, waits, Placement::place);
        result = result.then(s -> rounds.placeAll(s, candidates));
        PassRemainder remainder = capacity.remainder();
        TeamShare share = result.state().policies().share();
        TeamLedger ledger = result.state().teamLedger();
        WorkflowState placed =
                result.state()
                        .with(ServiceBacklogs.of(remainder, t -> share.delaysOthers(ledger, t)))
                        .with(waits.build(capacity.reservedWorkerCount()));
        return result.withState(RoomForecast.update(placed, remainder))
                .then(s -> WaitingStepsLog.writeIfDue(s, capacity));
    }

    /**
     * Adds the ready steps of {@code job} to {@code candidates}, or ends the job if one of them has
     * no attempts left.
     */
    private static WorkflowTransition addCandidates(
            WorkflowState state,
            Job job,
            boolean recovered,
            PassWaits waits,
            List<Candidate> candidates) {
        if (!job.isActive()) {
            return WorkflowTransition.of(state);
        }
        boolean runsKnown = job.term() == state.term() || recovered;
        Optional<Queue> queue = state.queueOf(job);
        List<StepKey> readySteps = job.readySteps();
        if (queue.isEmpty() || !runsKnown) {
            WaitReason reason =
                    queue.isEmpty() ? WaitReason.QUEUE_MISSING : WaitReason.RUNS_UNKNOWN;
            readySteps.forEach(key -> waits.add(key, job.progress(key), reason));
            return WorkflowTransition.of(state);
        }
        Optional<TaskKey> exhaustedTask =
                readySteps.stream()
                        .flatMap(key -> AttemptLimit.exhaustedTask(job, key, queue.get()).stream())
                        .findFirst();
        if (exhaustedTask.isPresent()) {
            return AttemptLimit.failBeforeStart(state, job, exhaustedTask.get(), queue.get());
        }
        candidates.addAll(
                readySteps.stream().map(k -> candidate(state, job, k, queue.get())).toList());
        return WorkflowTransition.of(state);
    }

    /**
     * Starts the assigned tasks of all steps that could not start when they were assigned or when
     * their tickets were renewed. Nothing else considers such a step again, because it has no
     * waiting tasks.
     */
    private static WorkflowTransition startAllAssigned(WorkflowState state, PassWaits waits) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (Job job : state.jobs().values()) {
            for (StepKey key : job.assignedSteps()) {
                result =
                        result.then(
                                s ->
                                        FailureIsolation.isolate(
                                                s, key, waits, () -> startAssigned(s, key)));
                addIfAssigned(result.state(), key, waits);
            }
        }
        return result;
    }

    private static void addIfAssigned(WorkflowState state, StepKey key, PassWaits waits) {
        Job job = state.jobs().get(key.job());
        if (job != null && job.isActive() && job.progress(key).hasAssigned()) {
            waits.add(key, job.progress(key), WaitReason.TICKET_RENEWAL);
        }
    }

    static Candidate candidate(WorkflowState state, Job job, StepKey key, Queue queue) {
        List<StepProgress> steps = job.occurrences().get(key.occurrence());
        Urgency.Standing standing = Urgency.standing(state, job, steps, queue);
        StepDefinition definition = job.step(key);
        long expectedMillis =
                state.policies()
                        .durations()
                        .expectedMillis(
                                state.durations(), queue.name(), definition.estimateMillis());
        return new Candidate(
                key, job, definition, steps.get(key.step()), queue, standing, expectedMillis);
    }

    private static WorkflowTransition place(
            WorkflowState state, Candidate candidate, PassCapacity capacity, PassWaits waits) {
        WorkflowState next = withReadyAt(state, candidate);
        StepKey key = candidate.key();
        boolean needsAdvice = candidate.queue().advice().isPresent();
        if (needsAdvice && !candidate.progress().advice().received()) {
            WorkflowState requested = AdviceChoice.requestAdvice(next, candidate, capacity);
            capacity.recordUntried(candidate);
            waits.add(
                    key,
                    candidate.progress(),
                    AdviceChoice.firstAnswerReason(requested, candidate, capacity, waits));
            return WorkflowTransition.of(requested);
        }
        if (!candidate.job().stored()) {
            waits.add(key, candidate.progress(), WaitReason.NOT_STORED);
            capacity.recordUntried(candidate);
            return WorkflowTransition.of(next);
        }
        if (!capacity.hasRequiredFreeCapacity(candidate)) {
            waits.add(key, candidate.progress(), WaitReason.MIN_FREE_CAPACITY);
            capacity.recordHeldBack(candidate);
            return WorkflowTransition.of(next);
        }
        WorkflowTransition placed =
                candidate.definition().gang()
                        ? placeGang(next, candidate, capacity, waits)
                        : placeTasks(next, candidate, capacity, waits);
        if (needsAdvice && !waits.contains(key)) {
            addIfAssigned(placed.state(), key, waits);
        }
        return needsAdvice && hasWaiting(placed.state(), key)
                ? placed.withState(AdviceChoice.requestAdvice(placed.state(), candidate, capacity))
                : placed;
    }

    private static WorkflowState withReadyAt(WorkflowState state, Candidate candidate) {
        if (candidate.progress().readyAt() >= 0) {
            return state;
        }
        Job job = state.jobs().get(candidate.job().id());
        return state.with(job.with(candidate.key(), candidate.progress().withReadyAt(state.now())));
    }

    private static boolean hasWaiting(WorkflowState state, StepKey key) {
        return state.jobs().get(key.job()).progress(key).hasWaiting();
    }

    private static WorkflowTransition placeTasks(
            WorkflowState state, Candidate candidate, PassCapacity capacity, PassWaits waits) {
        WorkflowState next = state;
        boolean anyAssigned = false;
        for (int i = 0; i < candidate.definition().taskCount(); i++) {
            Task task = candidate.progress().tasks().get(i);
            if (task.phase() != Task.Phase.WAITING) {
                continue;
            }
            if (capacity.stoppingTasks().contains(candidate.key().task(i))) {
                waits.add(candidate.key(), candidate.progress(), WaitReason.RUN_STOPPING);
                continue;
            }
            Optional<String> worker = capacity.allocate(candidate, Set.of());
            if (worker.isEmpty()) {
                WaitReason reason = capacity.recordUnplaced(candidate);
                waits.add(candidate.key(), candidate.progress(), reason);
                break;
            }
            next =
                    assign(
                            next,
                            candidate,
                            i,
                            worker.get(),
                            RunNumbers.next(next, candidate.job(), task.runNumber()));
            anyAssigned = true;
        }
        return anyAssigned ? startAssigned(next, candidate.key()) : WorkflowTransition.of(next);
    }

    private static WorkflowTransition placeGang(
            WorkflowState state, Candidate candidate, PassCapacity capacity, PassWaits waits) {
        List<Task> tasks = candidate.progress().tasks();
        if (candidate.progress().waitingCount() < tasks.size()) {
            waits.add(candidate.key(), candidate.progress(), WaitReason.GANG_ACTIVE);
            return WorkflowTransition.of(state);
        }
        if (IntStream.range(0, tasks.size())
                .mapToObj(candidate.key()::task)
                .anyMatch(capacity.stoppingTasks()::contains)) {
            waits.add(candidate.key(), candidate.progress(), WaitReason.RUN_STOPPING);
            return WorkflowTransition.of(state);
        }
        Optional<List<String>> workers = capacity.allocateAll(candidate, tasks.size());
        if (workers.isEmpty()) {
            WaitReason reason = capacity.recordUnplaced(candidate);
            waits.add(candidate.key(), candidate.progress(), reason);
            capacity.reserveWorkers(candidate);
            return WorkflowTransition.of(state);
        }
        long lastRunNumber = tasks.stream().mapToLong(Task::runNumber).max().orElse(0);
        long runNumber = RunNumbers.next(state, candidate.job(), lastRunNumber);
        WorkflowState next = state;
        for (int i = 0; i < tasks.size(); i++) {
            next = assign(next, candidate, i, workers.get().get(i), runNumber);
        }
        return startAssigned(next, candidate.key());
    }

    private static WorkflowState assign(
            WorkflowState state, Candidate candidate, int index, String worker, long runNumber) {
        TaskKey key = candidate.key().task(index);
        Job job = state.jobs().get(key.job());
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge =
                new WorkerNode.Charge(
                        runNumber,
                        candidate.definition().chargedCapacity(),
                        Optional.of(job.team()),
                        -1,
                        false,
                        -1);
        return state.with(job.with(key, job.task(key).assignedTo(worker, runNumber)))
                .with(node.withCharge(key, charge));
    }

    /**
     * Starts the assigned tasks of {@code key} that have valid tickets or need none, and renews the
     * tickets of the others. A gang starts only if all of its tickets are valid. Tasks that can no
     * longer start as assigned are placed again, because the wait for a ticket may take seconds:
     * their queue may have been removed, their worker may be draining or of another kind, or a
     * member of the gang may have lost its capacity. A job whose attempts are exhausted ends
     * instead.
     */
    static WorkflowTransition startAssigned(WorkflowState state, StepKey key) {
        Job job = state.jobs().get(key.job());
        if (job == null || !job.isActive() || !state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state);
        }
        Optional<Queue> queue = state.queueOf(job);
        StepProgress progress = job.progress(key);
        if (queue.isEmpty()) {
            return unassign(state, key);
        }
        Set<String> closedWorkers =
                StartCheck.closedWorkers(state, job.step(key), queue.get(), progress);
        boolean isPartialGang =
                job.step(key).gang() && (progress.hasWaiting() || !closedWorkers.isEmpty());
        if (isPartialGang) {
            return unassign(state, key);
        }
        Optional<TaskKey> exhaustedTask = AttemptLimit.exhaustedTask(job, key, queue.get());
        if (exhaustedTask.isPresent()) {
            return AttemptLimit.failBeforeStart(state, job, exhaustedTask.get(), queue.get());
        }
        WorkflowTransition result =
                closedWorkers.isEmpty()
                        ? WorkflowTransition.of(state)
                        : unassign(state, key, closedWorkers::contains);
        return result.then(s -> startWithValidTickets(s, key, queue.get()));
    }

    private static WorkflowTransition startWithValidTickets(
            WorkflowState state, StepKey key, Queue queue) {
        Job job = state.jobs().get(key.job());
        StepProgress progress = job.progress(key);
        List<Integer> startableIndexes = new ArrayList<>();
        Set<String> workersToRenew = new HashSet<>();
        for (int i = 0; i < progress.tasks().size(); i++) {
            Task task = progress.tasks().get(i);
            if (task.phase() != Task.Phase.ASSIGNED) {
                continue;
            }
            Ticket ticket = progress.advice().tickets().get(task.worker());
            WorkerNode node = state.workers().get(task.worker());
            boolean hasValidTicket = ticket != null && ticket.isValidOn(node, state.now());
            if (queue.advice().isEmpty() || hasValidTicket) {
                startableIndexes.add(i);
            } else {
                workersToRenew.add(task.worker());
            }
        }
        boolean mayStart = !job.step(key).gang() || workersToRenew.isEmpty();
        WorkflowTransition result = WorkflowTransition.of(state);
        if (mayStart) {
            for (int i : startableIndexes) {
                result =
                        result.then(s -> WorkerCommands.start(s, key.task(i), ticketOf(s, key, i)));
            }
        }
        return workersToRenew.isEmpty()
                ? result
                : result.then(s -> renewTickets(s, key, workersToRenew));
    }

    /**
     * Releases the capacity of all tasks that have not been started and whose service or team limit
     * has changed since the configuration {@code previous}, so that they are placed under the
     * configuration in force.
     */
    static WorkflowTransition releaseChanged(
            WorkflowState state, Optional<CellConfiguration> previous) {
        WorkflowTransition result = WorkflowTransition.of(state);
        for (Job job : state.jobs().values()) {
            boolean isUnchanged =
                    service(previous, job).equals(service(state.configuration(), job))
                            && limit(previous, job).equals(limit(state.configuration(), job));
            if (!isUnchanged) {
                for (StepKey key : job.assignedSteps()) {
                    result = result.then(s -> unassign(s, key));
                }
            }
        }
        return result;
    }

    private static Optional<String> service(Optional<CellConfiguration> configuration, Job job) {
        return configuration.flatMap(c -> c.queue(job.queue())).map(Queue::service);
    }

    private static Optional<Resources> limit(Optional<CellConfiguration> configuration, Job job) {
        return configuration.flatMap(c -> c.team(job.team())).map(CellConfiguration.Team::limit);
    }

    /**
     * Releases the capacity of all tasks of {@code key} that have not been started, so that they
     * are placed again.
     */
    static WorkflowTransition unassign(WorkflowState state, StepKey key) {
        return unassign(state, key, worker -> true);
    }

    /**
     * Releases the capacity of the tasks of {@code key} that are assigned to {@code workers} and
     * have not been started, so that they are placed again.
     */
    static WorkflowTransition unassign(
            WorkflowState state, StepKey key, Predicate<String> workers) {
        WorkflowTransition result = WorkflowTransition.of(state.withPlacementDue(true));
        PVector<Task> tasks = state.jobs().get(key.job()).progress(key).tasks();
        for (int i = 0; i < tasks.size(); i++) {
            TaskKey member = key.task(i);
            Task task = tasks.get(i);
            if (task.phase() == Task.Phase.ASSIGNED && workers.test(task.worker())) {
                result =
                        result.then(
                                s ->
                                        s.workers().containsKey(task.worker())
                                                ? WorkerCommands.stop(s, task.worker(), member)
                                                : withoutWorker(s, member, task));
            }
        }
        return result;
    }

    /** Returns a transition in which {@code task}, whose worker is gone, waits again. */
    private static WorkflowTransition withoutWorker(WorkflowState state, TaskKey key, Task task) {
        return WorkflowTransition.of(RunCompletions.runNotStarted(state, key, task.runNumber()));
    }

    private static String ticketOf(WorkflowState state, StepKey key, int index) {
        StepProgress progress = state.jobs().get(key.job()).progress(key);
        Ticket ticket = progress.advice().tickets().get(progress.tasks().get(index).worker());
        return ticket == null ? "" : ticket.token();
    }

    private static WorkflowTransition renewTickets(
            WorkflowState state, StepKey key, Set<String> workers) {
        Job job = state.jobs().get(key.job());
        StepProgress progress = job.progress(key);
        if (progress.advice().renewalPending()) {
            return WorkflowTransition.of(state);
        }
        Set<String> workersToRequest = new HashSet<>(workers);
        if (job.step(key).gang()) {
            progress.tasks().forEach(t -> workersToRequest.add(t.worker()));
        }
        List<String> workersWithoutTicket =
                workersToRequest.stream()
                        .filter(w -> !progress.advice().tickets().containsKey(w))
                        .toList();
        if (workersWithoutTicket.isEmpty()) {
            return WorkflowTransition.of(
                    AdviceDispatcher.renewTickets(state, key, List.copyOf(workersToRequest)));
        }
        // The service has withdrawn the tickets of these workers, so their tasks are placed again.
        return unassign(state, key, w -> job.step(key).gang() || workersWithoutTicket.contains(w));
    }
}
