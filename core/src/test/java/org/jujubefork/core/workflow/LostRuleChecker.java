package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jujubefork.core.model.Resources;

/**
 * Checks the rule LOST for accepted work: an accepted job must not have nothing running for three
 * seconds on end while a task's turn has come, there is capacity for it twice over, its team uses
 * under half of its limit, and under half of the service's capacity is in use. It judges only by
 * what callers and workers see, and not by the state of the leader.
 */
final class LostRuleChecker {
    /** How long a job may have nothing running. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    private static final int SAMPLE_INTERVAL_MILLIS = 100;

    /** The rule demands this many times the capacity that the step needs. */
    private static final int CAPACITY_FACTOR = 2;

    /**
     * A step that could run and did not.
     *
     * @param step the step
     * @param definition its tasks
     * @param since since when it could run
     * @param at when the rule was broken
     * @param report what the leader knows of the step at that time
     */
    record Violation(StepKey step, StepDefinition definition, long since, long at, String report) {}

    private final Simulation simulation;
    private final Predicate<String> isJudged;
    private final Map<StepKey, Long> runnableSince = new HashMap<>();
    private final Set<StepKey> reportedSteps = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();

    /** Creates a checker of all accepted jobs. */
    LostRuleChecker(Simulation simulation) {
        this(simulation, job -> true);
    }

    /** Creates a checker of the accepted jobs for which {@code isJudged} holds. */
    LostRuleChecker(Simulation simulation, Predicate<String> isJudged) {
        this.simulation = simulation;
        this.isJudged = isJudged;
    }

    List<Violation> violations() {
        return violations;
    }

    /** Checks the rule now, and then often. */
    void watch() {
        List<String> jobs = simulation.callers.acceptedJobs().stream().filter(isJudged).toList();
        for (String job : jobs) {
            WorkflowDefinition definition = simulation.submittedDefinitions.get(job);
            for (int i = 0; i < definition.steps().size(); i++) {
                check(new StepKey(job, 0, i), definition.steps().get(i));
            }
        }
        simulation.after(SAMPLE_INTERVAL_MILLIS, this::watch);
    }

    private void check(StepKey step, StepDefinition definition) {
        if (!mustRun(step, definition)) {
            runnableSince.remove(step);
            return;
        }
        long since = runnableSince.computeIfAbsent(step, s -> simulation.now());
        if (simulation.now() - since > MAX_IDLE_MILLIS && reportedSteps.add(step)) {
            String report = StalledStepReport.of(simulation, step, definition);
            violations.add(new Violation(step, definition, since, simulation.now(), report));
        }
    }

    private boolean mustRun(StepKey step, StepDefinition definition) {
        String job = step.job();
        boolean hasEnded =
                simulation.callers.cancelledJobs().contains(job)
                        || simulation.safetyChecker.failuresOf(job) >= Simulation.ATTEMPTS;
        return !hasEnded && isTurn(step) && !isAnyRunning(job) && hasCapacity(step, definition);
    }

    private boolean isTurn(StepKey step) {
        List<StepDefinition> steps = simulation.submittedDefinitions.get(step.job()).steps();
        return !isDone(step)
                && steps.get(step.step()).dependencies().stream()
                        .allMatch(d -> isDone(new StepKey(step.job(), step.occurrence(), d)));
    }

    private boolean isDone(StepKey step) {
        int count =
                simulation
                        .submittedDefinitions
                        .get(step.job())
                        .steps()
                        .get(step.step())
                        .taskCount();
        for (int i = 0; i < count; i++) {
            if (!simulation.safetyChecker.isDone(step.task(i))) {
                return false;
            }
        }
        return true;
    }

    private boolean isAnyRunning(String job) {
        return simulation.workers.values().stream()
                .flatMap(w -> w.runs().keySet().stream())
                .anyMatch(t -> t.job().equals(job));
    }

    private boolean hasCapacity(StepKey step, StepDefinition definition) {
        String queueName = simulation.callers.queueOf(step.job());
        CellConfiguration.Queue queue = simulation.configuration.queue(queueName).orElse(null);
        if (queue == null) {
            return false;
        }
        int count = definition.gang() ? definition.taskCount() : 1;
        return places(step, definition, queue.service()) >= (long) CAPACITY_FACTOR * count
                && isServiceHalfFree(queue.service())
                && isTeamHalfFree(step, definition.size().times(count));
    }

    private static boolean takesWork(SimulatedWorker worker, String service) {
        return worker.listed
                && worker.isReachable()
                && !worker.listing.draining()
                && worker.listing.service().equals(service);
    }

    private long places(StepKey step, StepDefinition definition, String service) {
        long places = 0;
        for (SimulatedWorker worker : simulation.advice.permittedWorkers(step)) {
            String label = definition.requiredLabel();
            boolean hasLabel = label.isEmpty() || worker.listing.labels().contains(label);
            if (takesWork(worker, service) && hasLabel) {
                worker.advance();
                Resources free = worker.listing.capacity().minus(worker.used());
                long count = definition.size().countIn(free, Integer.MAX_VALUE);
                int maxCount = definition.maxPerWorker();
                places += maxCount == 0 ? count : Math.min(count, maxCount);
            }
        }
        return places;
    }

    private boolean isServiceHalfFree(String service) {
        Resources used = Resources.ZERO;
        Resources capacity = Resources.ZERO;
        for (SimulatedWorker worker : simulation.workers.values()) {
            if (takesWork(worker, service)) {
                used = used.plus(worker.used());
                capacity = capacity.plus(worker.listing.capacity());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /** Returns whether the team uses under half of its limit, and {@code needed} fits as well. */
    private boolean isTeamHalfFree(StepKey step, Resources needed) {
        String team = simulation.callers.teamOf(step.job());
        Resources limit = simulation.configuration.limit(team);
        Resources used = simulation.safetyChecker.teamUsage(team);
        return isWithin(2 * used.cpuMillis(), limit.cpuMillis())
                && isWithin(used.plus(needed).cpuMillis(), limit.cpuMillis());
    }

    private static boolean isWithin(long amount, long limit) {
        return limit == 0 || amount <= limit;
    }
}
