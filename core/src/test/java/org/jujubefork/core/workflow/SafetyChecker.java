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

/** What must hold in the simulation, seen from its workers. */
final class SafetyChecker {
    private final Simulation world;
    private final Set<TaskKey> done = new HashSet<>();
    private final Set<TaskKey> noted = new HashSet<>();
    private final Map<TaskKey, Set<Long>> failures = new HashMap<>();
    private final Map<TaskKey, Set<Long>> notedFailures = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    SafetyChecker(Simulation world) {
        this.world = world;
    }

    List<String> violations() {
        return violations;
    }

    void violated(String what) {
        violations.add(what);
    }

    private List<TaskKey> gangOf(TaskKey task) {
        StepDefinition step = world.submitted.get(task.job()).steps().get(task.step());
        List<TaskKey> members = new ArrayList<>();
        for (int i = 0; step.gang() && i < step.count(); i++) {
            members.add(task.stepKey().task(i));
        }
        return members;
    }

    private Optional<SimulatedWorker> workerWith(TaskKey task, long run) {
        return world.workers.values().stream()
                .filter(w -> w.present(task) != null && w.present(task).run() == run)
                .findFirst();
    }

    /** A gang ends with success only if all of its members are present. */
    RunOutcome gangEnd(SimulatedWorker.Run run) {
        boolean whole =
                gangOf(run.task()).stream().allMatch(m -> workerWith(m, run.run()).isPresent());
        return whole ? RunOutcome.DONE : RunOutcome.ALONE;
    }

    /** Ends the other members of a gang together with one. */
    void gangDone(SimulatedWorker.Run run) {
        for (TaskKey member : gangOf(run.task())) {
            workerWith(member, run.run())
                    .ifPresent(w -> w.endWith(w.present(member), RunOutcome.DONE));
        }
    }

    void failed(TaskKey task, long run) {
        failures.computeIfAbsent(counted(task), t -> new HashSet<>()).add(run);
    }

    /** Returns how often the task or gang of {@code job} that failed most often has failed. */
    int failuresOf(String job) {
        return failures.entrySet().stream()
                .filter(e -> e.getKey().job().equals(job))
                .mapToInt(e -> e.getValue().size())
                .max()
                .orElse(0);
    }

    /** An end with a failure was acknowledged. */
    void notedFailure(TaskKey task, long run) {
        notedFailures.computeIfAbsent(counted(task), t -> new HashSet<>()).add(run);
    }

    /** A gang fails as a whole. */
    private TaskKey counted(TaskKey task) {
        return gangOf(task).isEmpty() ? task : task.stepKey().task(0);
    }

    void ended(TaskKey task) {
        done.add(task);
    }

    /** An end with success was acknowledged; no other run of the task may have started since. */
    void noted(TaskKey task) {
        if (!noted.add(task)) {
            violations.add(task + " was done twice and noted twice at " + world.now());
        }
    }

    /** Checks what must hold whenever a run starts. */
    void checkStart(SimulatedWorker worker, TaskKey task, Resources size) {
        for (SimulatedWorker other : world.workers.values()) {
            if (other.runs().containsKey(task)) {
                violations.add(
                        task + " runs on " + other.listing.id() + " and " + worker.listing.id());
            }
        }
        if (notedFailures.getOrDefault(counted(task), Set.of()).size() >= Simulation.ATTEMPTS) {
            violations.add(task + " starts after all attempts have failed at " + world.now());
        }
        if (noted.contains(task)) {
            violations.add(task + " starts after its end was noted at " + world.now());
        }
        if (!worker.used().plus(size).fitsIn(worker.listing.room())) {
            violations.add("no room for " + task + " on " + worker.listing.id());
        }
        StepDefinition step = world.submitted.get(task.job()).steps().get(task.step());
        for (int before : step.after()) {
            for (int i = 0; i < world.submitted.get(task.job()).steps().get(before).count(); i++) {
                if (!done.contains(new TaskKey(task.job(), 0, before, i))) {
                    violations.add(task + " started before step " + before);
                }
            }
        }
    }
}
