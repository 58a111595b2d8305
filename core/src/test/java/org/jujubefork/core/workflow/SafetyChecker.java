package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;

/** Checks the invariants of the simulation by what its workers run and report. */
final class SafetyChecker {
    /** Time after which no entry sends starts to a draining worker. */
    private static final long MAX_DRAIN_NOTICE_MILLIS = 2_500;

    /** Time after a freeze in which the rules with a time bound do not hold for an entry. */
    private static final long STABLE_MILLIS = 4_000;

    private final Simulation simulation;
    private final Set<TaskKey> completedTasks = new HashSet<>();
    private final Set<TaskKey> acknowledgedTasks = new HashSet<>();
    private final Map<TaskKey, Set<Long>> failedRunNumbers = new HashMap<>();
    private final Map<TaskKey, Set<Long>> acknowledgedFailedRunNumbers = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    SafetyChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    List<String> violations() {
        return violations;
    }

    void recordViolation(String message) {
        violations.add(message);
    }

    private List<TaskKey> gangMembers(TaskKey task) {
        StepDefinition step =
                simulation.submittedDefinitions.get(task.job()).steps().get(task.step());
        List<TaskKey> members = new ArrayList<>();
        for (int i = 0; step.gang() && i < step.taskCount(); i++) {
            members.add(task.stepKey().task(i));
        }
        return members;
    }

    private Optional<SimulatedWorker> workerRunning(TaskKey task, long runNumber) {
        return simulation.workers.values().stream()
                .filter(
                        w ->
                                w.activeRun(task) != null
                                        && w.activeRun(task).runNumber() == runNumber)
                .findFirst();
    }

    /**
     * Returns the outcome of a run that succeeds unless it belongs to a gang and a member of the
     * gang is not active.
     */
    RunOutcome gangOutcome(SimulatedWorker.Run run) {
        boolean allPresent =
                gangMembers(run.task()).stream()
                        .allMatch(m -> workerRunning(m, run.runNumber()).isPresent());
        return allPresent ? RunOutcome.DONE : RunOutcome.ALONE;
    }

    /** Completes the other members of the gang together with {@code run}. */
    void completeGang(SimulatedWorker.Run run) {
        for (TaskKey member : gangMembers(run.task())) {
            workerRunning(member, run.runNumber())
                    .ifPresent(w -> w.endWithGang(w.activeRun(member), RunOutcome.DONE));
        }
    }

    void runFailed(TaskKey task, long runNumber) {
        failedRunNumbers.computeIfAbsent(failureKey(task), t -> new HashSet<>()).add(runNumber);
    }

    /** Returns the highest number of failed runs of any single task or gang of {@code job}. */
    int failuresOf(String job) {
        return failedRunNumbers.entrySet().stream()
                .filter(e -> e.getKey().job().equals(job))
                .mapToInt(e -> e.getValue().size())
                .max()
                .orElse(0);
    }

    /** Records that the completion of a failed run was acknowledged. */
    void failureAcknowledged(TaskKey task, long runNumber) {
        acknowledgedFailedRunNumbers
                .computeIfAbsent(failureKey(task), t -> new HashSet<>())
                .add(runNumber);
    }

    /**
     * Returns the key under which failures are counted. A gang fails as a whole, so its failures
     * are counted under its first task.
     */
    private TaskKey failureKey(TaskKey task) {
        return gangMembers(task).isEmpty() ? task : task.stepKey().task(0);
    }

    void taskCompleted(TaskKey task) {
        completedTasks.add(task);
    }

    /**
     * Records that the completion of a successful run was acknowledged. After that, no run of the
     * task may start, and no other run may have a successful completion acknowledged.
     */
    void completionAcknowledged(TaskKey task) {
        if (!acknowledgedTasks.add(task)) {
            violations.add(task + " completed twice, both acknowledged, at " + simulation.now());
        }
    }

    /** Returns the resources of all active runs of {@code team}. */
    Resources teamUsage(String team) {
        Resources usage = Resources.ZERO;
        for (SimulatedWorker worker : simulation.workers.values()) {
            for (SimulatedWorker.Run run : worker.runs().values()) {
                boolean isOfTeam = simulation.callers.teamOf(run.task().job()).equals(team);
                usage = isOfTeam ? usage.plus(run.size()) : usage;
            }
        }
        return usage;
    }

    /**
     * Returns whether {@code task} is done: its completion, or that of a member of its gang, was
     * acknowledged or is in the store. An acknowledgement of a stored completion can be lost.
     */
    boolean isDone(TaskKey task) {
        boolean completed =
                completedTasks.contains(task)
                        || gangMembers(task).stream().anyMatch(completedTasks::contains);
        return acknowledgedTasks.contains(task)
                || gangMembers(task).stream().anyMatch(acknowledgedTasks::contains)
                || (completed && simulation.store.isRecordedAsDone(task));
    }

    /**
     * Checks a start command that leaves an entry for a zone that has been evacuated since {@code
     * evacuatedAt}; {@code shown} is whether the entry was shown the evacuation.
     */
    void checkEvacuation(WorkflowEffect.Start start, long evacuatedAt, boolean shown) {
        long delay = simulation.now() - evacuatedAt;
        if (shown || delay > SimulatedEvacuations.EVACUATION_MILLIS) {
            violations.add(
                    "start of "
                            + start.command().task()
                            + " leaves for the evacuated zone "
                            + start.worker().zone()
                            + " "
                            + delay
                            + " ms after its evacuation"
                            + (shown ? ", which the entry was shown" : ""));
        }
    }

    /** Checks that a start command does not leave an entry for a worker that has been draining. */
    void checkDraining(SimulatedEntry entry, WorkflowEffect.Start start) {
        SimulatedWorker worker = simulation.workers.get(start.worker().id());
        boolean wasFrozen = simulation.now() < entry.frozenUntil + STABLE_MILLIS;
        if (simulation.now() - MAX_DRAIN_NOTICE_MILLIS > worker.drainingSince && !wasFrozen) {
            violations.add(start.command().task() + " leaves for draining " + start.worker().id());
        }
    }

    /**
     * Checks that a run that starts fits the service, the labels and the size of the present
     * incarnation of its worker.
     */
    void checkKind(SimulatedWorker worker, TaskKey task, Resources size) {
        WorkerNode.Listing kind = worker.listing;
        String queue = simulation.callers.queueOf(task.job());
        if (!simulation.configuration.servicesOf(queue).contains(kind.service())) {
            violations.add(task + " starts on " + kind.id() + " of service " + kind.service());
        }
        String label =
                simulation
                        .submittedDefinitions
                        .get(task.job())
                        .steps()
                        .get(task.step())
                        .requiredLabel();
        if (!label.isEmpty() && !kind.labels().contains(label)) {
            violations.add(task + " starts on " + kind.id() + " without the label " + label);
        }
        if (!worker.used().plus(size).fitsIn(kind.capacity())) {
            violations.add(task + " exceeds the capacity of the present " + kind.id());
        }
    }

    private void checkMaxPerWorker(SimulatedWorker worker, TaskKey task) {
        int max =
                simulation
                        .submittedDefinitions
                        .get(task.job())
                        .steps()
                        .get(task.step())
                        .maxPerWorker();
        long active =
                worker.runs().keySet().stream()
                        .filter(t -> t.stepKey().equals(task.stepKey()))
                        .count();
        if (max > 0 && active >= max) {
            violations.add(task + " starts beside " + active + " tasks of its step");
        }
    }

    /** Checks the other invariants for a run that starts. */
    void checkStart(SimulatedWorker worker, TaskKey task, Resources size) {
        for (SimulatedWorker other : simulation.workers.values()) {
            if (other.runs().containsKey(task)) {
                violations.add(
                        task + " runs on " + other.listing.id() + " and " + worker.listing.id());
            }
        }
        if (acknowledgedFailedRunNumbers.getOrDefault(failureKey(task), Set.of()).size()
                >= Simulation.ATTEMPTS) {
            violations.add(task + " starts after all attempts have failed at " + simulation.now());
        }
        if (acknowledgedTasks.contains(task)) {
            violations.add(
                    task + " starts after its completion was acknowledged at " + simulation.now());
        }
        if (!worker.used().plus(size).fitsIn(worker.largestCapacity())) {
            violations.add("not enough free capacity for " + task + " on " + worker.listing.id());
        }
        checkMaxPerWorker(worker, task);
        String team = simulation.callers.teamOf(task.job());
        Resources teamUsage = teamUsage(team).plus(size);
        long limit = simulation.configuration.highestLimit(team).cpuMillis();
        if (limit > 0 && teamUsage.cpuMillis() > limit) {
            violations.add(
                    task + " brings its team to " + teamUsage + ", over its limit of " + limit);
        }
        StepDefinition step =
                simulation.submittedDefinitions.get(task.job()).steps().get(task.step());
        for (int dependency : step.dependencies()) {
            for (int i = 0;
                    i
                            < simulation
                                    .submittedDefinitions
                                    .get(task.job())
                                    .steps()
                                    .get(dependency)
                                    .taskCount();
                    i++) {
                if (!completedTasks.contains(new TaskKey(task.job(), 0, dependency, i))) {
                    violations.add(task + " started before step " + dependency);
                }
            }
        }
    }
}
