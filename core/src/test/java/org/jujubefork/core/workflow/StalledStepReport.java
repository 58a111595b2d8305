package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.StepProgress.AdviceState;

/**
 * Describes what the leader knows of a step that could run and does not. It only helps to find the
 * cause; whether a rule is broken is decided without it.
 */
final class StalledStepReport {
    private final Simulation simulation;
    private final WorkflowState state;
    private final StepKey step;
    private final StepDefinition definition;

    private StalledStepReport(
            Simulation simulation, WorkflowState state, StepKey step, StepDefinition definition) {
        this.simulation = simulation;
        this.state = state;
        this.step = step;
        this.definition = definition;
    }

    /** Returns the likely causes, each a word, and details. */
    static String of(Simulation simulation, StepKey step, StepDefinition definition) {
        Optional<SimulatedEntry> leader = simulation.leading();
        String header =
                step
                        + " size="
                        + definition.size()
                        + " count="
                        + definition.taskCount()
                        + (definition.gang() ? " gang" : "");
        return leader.isEmpty()
                ? "[no-leader] " + header
                : new StalledStepReport(simulation, leader.get().state, step, definition)
                        .text(header);
    }

    private String text(String header) {
        Job job = state.jobs().get(step.job());
        if (job == null) {
            return "[job-missing] " + header;
        }
        Optional<CellConfiguration.Queue> queue = state.queueOf(job);
        if (queue.isEmpty()) {
            return "[queue-missing] " + header;
        }
        StepProgress progress = job.progress(step);
        List<String> causes = new ArrayList<>();
        if (!state.hasConfirmedLeadership()) {
            causes.add("unconfirmed-leader");
        }
        if (!Fleet.isRecovered(state) && job.term() != state.term()) {
            causes.add("takeover-wait");
        }
        if (!job.areDependenciesDone(step)) {
            causes.add("dependencies");
        }
        if (!job.isActive()) {
            causes.add("status-" + job.status());
        }
        Map<Task.Phase, Integer> phases = new EnumMap<>(Task.Phase.class);
        progress.tasks().forEach(t -> phases.merge(t.phase(), 1, Integer::sum));
        if (!progress.hasWaiting() || (definition.gang() && phases.size() > 1)) {
            causes.add("phases");
        }
        boolean needsAdvice = queue.get().advice().isPresent();
        if (needsAdvice) {
            addAdviceCauses(progress.advice(), queue.get(), causes);
        }
        addWorkerCauses(job, queue.get(), progress, needsAdvice, causes);
        Urgency.Standing standing =
                Urgency.standing(state, job, job.occurrences().get(step.occurrence()), queue.get());
        if (causes.isEmpty()) {
            causes.add("capacity");
        }
        return causes
                + " "
                + header
                + " queue="
                + job.queue()
                + " team="
                + job.team()
                + " standing="
                + standing
                + " phases="
                + phases
                + (needsAdvice ? adviceText(progress.advice(), queue.get()) : "")
                + "\n    fleet="
                + fleetText(queue.get());
    }

    private List<WorkerNode> usableWorkers(CellConfiguration.Queue queue) {
        return state.workers().values().stream()
                .filter(state::isOpenForStarts)
                .filter(n -> n.listing().service().equals(queue.service()))
                .toList();
    }

    private boolean isRefused(AdviceState advice, WorkerNode node) {
        return SimulatedAdvice.isPermitted(step, node.id())
                && advice.refusals().containsKey(node.id())
                && !advice.tickets().containsKey(node.id());
    }

    private void addAdviceCauses(
            AdviceState advice, CellConfiguration.Queue queue, List<String> causes) {
        if (!advice.received()) {
            causes.add("no-advice-yet");
        }
        if (advice.choicePending() || advice.renewalPending()) {
            boolean known =
                    state.adviceRequests().pending().stream().anyMatch(this::isOfStep)
                            || state.adviceRequests().inFlight().values().stream()
                                    .anyMatch(f -> isOfStep(f.request()));
            causes.add(known ? "request-open" : "request-lost");
        }
        if (usableWorkers(queue).stream().anyMatch(n -> isRefused(advice, n))) {
            causes.add("refusal-kept");
        }
    }

    private boolean isOfStep(AdviceRequest request) {
        return request.step().equals(step);
    }

    private void addWorkerCauses(
            Job job,
            CellConfiguration.Queue queue,
            StepProgress progress,
            boolean needsAdvice,
            List<String> causes) {
        long quarantined =
                state.workers().values().stream()
                        .filter(n -> n.listing().service().equals(queue.service()))
                        .filter(n -> n.health().quarantinedUntil() > state.now())
                        .count();
        if (quarantined > 0) {
            causes.add(
                    "quarantine-"
                            + (quarantined * 2 >= usableWorkers(queue).size() ? "many" : "few"));
        }
        long places =
                usableWorkers(queue).stream()
                        .filter(
                                n ->
                                        definition.requiredLabel().isEmpty()
                                                || n.listing()
                                                        .labels()
                                                        .contains(definition.requiredLabel()))
                        .filter(
                                n ->
                                        !needsAdvice
                                                || progress.advice().tickets().containsKey(n.id()))
                        .mapToLong(n -> definition.size().countIn(n.freeCapacity(), 1_000))
                        .sum();
        causes.add(
                places >= (definition.gang() ? definition.taskCount() : 1)
                        ? "has-places"
                        : "no-places");
        boolean isStale =
                state.workers().values().stream()
                        .anyMatch(n -> n.maxUnknownUsage(state.now()).cpuMillis() > 0);
        if (isStale) {
            causes.add("unknown-usage");
        }
        causes.addAll(new ReservingGangs(simulation, state).kinds(job.id()));
    }

    private String adviceText(AdviceState advice, CellConfiguration.Queue queue) {
        List<String> refused =
                usableWorkers(queue).stream()
                        .filter(n -> isRefused(advice, n))
                        .map(WorkerNode::id)
                        .toList();
        List<String> permitted =
                usableWorkers(queue).stream()
                        .map(WorkerNode::id)
                        .filter(id -> SimulatedAdvice.isPermitted(step, id))
                        .toList();
        return "\n    advice received="
                + advice.received()
                + " choicePending="
                + advice.choicePending()
                + " renewalPending="
                + advice.renewalPending()
                + " nextChoiceAt="
                + advice.nextChoiceAt()
                + " requested="
                + advice.refusals().keySet()
                + " tickets="
                + advice.tickets()
                + " permitted="
                + permitted
                + " refused-though-permitted="
                + refused
                + " pending="
                + state.adviceRequests().pending().size()
                + " inFlight="
                + state.adviceRequests().inFlight().size()
                + " advisors="
                + state.adviceRequests().advisors();
    }

    private String fleetText(CellConfiguration.Queue queue) {
        StringBuilder text = new StringBuilder();
        for (WorkerNode node : state.workers().values()) {
            SimulatedWorker worker = simulation.workers.get(node.id());
            if (node.listing().service().equals(queue.service())) {
                text.append(
                        " %s[open=%s free=%d really=%d charges=%d up=%s]"
                                .formatted(
                                        node.id(),
                                        state.isOpenForStarts(node),
                                        node.freeCapacity().cpuMillis(),
                                        worker.listing.capacity().minus(worker.used()).cpuMillis(),
                                        node.charges().size(),
                                        worker.isReachable()));
            }
        }
        return text.toString();
    }
}
