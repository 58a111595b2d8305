package org.jujubefork.core.workflow;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jujubefork.core.model.Resources;

/** Finds the gangs for which the leader may reserve workers, and why they wait. */
final class ReservingGangs {
    /** Slack below which the leader reserves workers for a gang. */
    private static final double MAX_SLACK_MILLIS = 5_000;

    private final Simulation simulation;
    private final WorkflowState state;

    ReservingGangs(Simulation simulation, WorkflowState state) {
        this.simulation = simulation;
        this.state = state;
    }

    /** Returns the kinds of the gangs of other jobs than {@code excludedJob} that wait. */
    Set<String> kinds(String excludedJob) {
        Set<String> kinds = new TreeSet<>();
        for (Job job : state.jobs().values()) {
            Optional<CellConfiguration.Queue> queue = state.queueOf(job);
            if (job.isActive() && queue.isPresent() && !job.id().equals(excludedJob)) {
                addKinds(job, queue.get(), kinds);
            }
        }
        return kinds;
    }

    private void addKinds(Job job, CellConfiguration.Queue queue, Set<String> kinds) {
        for (int occurrence : job.occurrences().keySet()) {
            Urgency.Standing standing =
                    Urgency.standing(state, job, job.occurrences().get(occurrence), queue);
            boolean reserves =
                    standing.rank().reservesCapacity()
                            && standing.slackMillis() <= MAX_SLACK_MILLIS;
            for (int i = 0; reserves && i < job.definition().steps().size(); i++) {
                StepKey key = new StepKey(job.id(), occurrence, i);
                boolean waits =
                        job.step(key).gang()
                                && job.progress(key).hasWaiting()
                                && job.areDependenciesDone(key);
                if (waits) {
                    kinds.add(kind(job, key, queue));
                }
            }
        }
    }

    private String kind(Job job, StepKey key, CellConfiguration.Queue queue) {
        StepDefinition step = job.step(key);
        Resources needed = step.size().times(step.taskCount());
        Resources limit = simulation.configuration.limit(job.team());
        if (limit.cpuMillis() > 0 && needed.cpuMillis() > limit.cpuMillis()) {
            return "gang-over-limit";
        }
        long placesInFleet = 0;
        for (SimulatedWorker worker : simulation.advice.permittedWorkers(key)) {
            boolean isEligible =
                    worker.listed
                            && !worker.listing.draining()
                            && worker.listing.service().equals(queue.service());
            placesInFleet += isEligible ? step.size().countIn(worker.listing.capacity(), 1_000) : 0;
        }
        if (placesInFleet < step.taskCount()) {
            return "gang-too-wide";
        }
        long placesWithTickets = 0;
        for (WorkerNode node : state.workers().values()) {
            boolean hasTicket =
                    queue.advice().isEmpty()
                            || job.progress(key).advice().tickets().containsKey(node.id());
            boolean isEligible =
                    hasTicket
                            && state.isOpenForStarts(node)
                            && node.listing().service().equals(queue.service());
            placesWithTickets +=
                    isEligible ? step.size().countIn(node.listing().capacity(), 1_000) : 0;
        }
        return placesWithTickets < step.taskCount() ? "gang-without-tickets" : "gang-possible";
    }
}
