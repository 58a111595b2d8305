package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.WorkflowEvent.AdviceCompleted;

/**
 * The advice service of the simulation. It handles the requests of one entry one after the other.
 * Which workers may run a step never changes, but a worker whose process is down at the moment of
 * the answer gets no ticket. The service of the users does not leave these out, nor workers that
 * are only cut off: of those named while they were silent as many got a ticket as of others.
 */
final class SimulatedAdvice {
    /** Time beyond twice the cost of a request after which an entry gives the request up. */
    private static final long TIMEOUT_MILLIS = 1_200;

    private static final int PERCENT = 100;

    /** Range of the share of the workers that may run a step, in percent. */
    private static final int MIN_PERMITTED_PERCENT = 30;

    private static final int MAX_PERMITTED_PERCENT = 70;

    /** A ticket that the service has granted for one life of a worker. */
    private record Grant(StepKey step, String worker, long incarnation, long validUntil) {}

    private final Simulation simulation;
    private final Map<String, Long> busyUntil = new HashMap<>();
    private final Map<String, Grant> grants = new HashMap<>();

    /** Share of the answers that are lost, while faults are enabled. */
    double lostAnswerProbability = 0.02;

    /** Whether all requests fail. */
    boolean isDown;

    SimulatedAdvice(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Returns whether the policy of the queue permits the step on the worker. */
    static boolean isPermitted(StepKey step, String worker) {
        int range = MAX_PERMITTED_PERCENT - MIN_PERMITTED_PERCENT + 1;
        int percent = MIN_PERMITTED_PERCENT + Math.floorMod(mix(step.toString(), "share"), range);
        return Math.floorMod(mix(step.toString(), worker), PERCENT) < percent;
    }

    private static int mix(String first, String second) {
        int hash = 31 * first.hashCode() + second.hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x7feb352d;
        hash = (hash ^ (hash >>> 15)) * 0x846ca68b;
        return hash ^ (hash >>> 16);
    }

    private Optional<AdviceSettings> settings(StepKey step) {
        return simulation
                .configuration
                .queue(simulation.callers.queueOf(step.job()))
                .flatMap(Queue::advice);
    }

    /** Carries out a request that the leader sends through one of the entries. */
    void request(SimulatedEntry leader, int boot, WorkflowEffect.RequestAdvice request) {
        SimulatedEntry advisor =
                simulation.entries.stream()
                        .filter(e -> e.id.equals(request.advisor()))
                        .findFirst()
                        .orElseThrow();
        long timeout = 2 * request.costMillis() + TIMEOUT_MILLIS;
        if (!advisor.isUp || isDown) {
            // A refused connection fails at once, any other failure after the timeout.
            long delay = simulation.random.nextBoolean() ? simulation.latency() : timeout;
            simulation.after(delay, () -> answer(leader, boot, request, Optional.empty()));
            return;
        }
        int advisorBoot = advisor.boot;
        long startAt =
                Math.max(
                        simulation.now() + simulation.latency(),
                        busyUntil.getOrDefault(advisor.id, 0L));
        long endAt = startAt + request.costMillis();
        busyUntil.put(advisor.id, endAt);
        boolean lost = simulation.randomly(lostAnswerProbability);
        long sentAt = simulation.now();
        simulation.after(
                endAt - sentAt,
                () -> {
                    boolean answered =
                            !lost
                                    && advisor.boot == advisorBoot
                                    && advisor.frozenUntil <= simulation.now()
                                    && simulation.now() - sentAt < timeout;
                    if (answered) {
                        Map<String, String> tickets = tickets(request);
                        simulation.after(
                                simulation.latency(),
                                () -> answer(leader, boot, request, Optional.of(tickets)));
                    } else {
                        simulation.after(
                                Math.max(0, sentAt + timeout - simulation.now()),
                                () -> answer(leader, boot, request, Optional.empty()));
                    }
                });
    }

    private Map<String, String> tickets(WorkflowEffect.RequestAdvice request) {
        Map<String, String> tickets = new HashMap<>();
        long validMillis = settings(request.step()).map(AdviceSettings::validMillis).orElse(0L);
        for (String id : request.workers()) {
            SimulatedWorker worker = simulation.workers.get(id);
            if (isPermitted(request.step(), id) && worker.isUp() && worker.listed) {
                String token = "t" + grants.size();
                grants.put(
                        token,
                        new Grant(
                                request.step(),
                                id,
                                worker.incarnation(),
                                simulation.now() + validMillis));
                tickets.put(id, token);
            }
        }
        return tickets;
    }

    private void answer(
            SimulatedEntry leader,
            int boot,
            WorkflowEffect.RequestAdvice request,
            Optional<Map<String, String>> tickets) {
        simulation.post(
                leader,
                boot,
                new AdviceCompleted(simulation.now(), request.fence(), request.number(), tickets));
    }

    /** Returns whether the worker must reject a start because it carries no valid ticket. */
    boolean isTicketMissing(SimulatedWorker worker, WorkflowEffect.Start start) {
        StepKey step = start.command().task().stepKey();
        if (settings(step).isEmpty()) {
            return false;
        }
        Grant grant = grants.get(start.ticket());
        return grant == null
                || !grant.step().equals(step)
                || !grant.worker().equals(worker.listing.id())
                || grant.incarnation() != worker.incarnation()
                || grant.validUntil() < simulation.now();
    }

    /** Returns the workers that may run {@code step} because no policy excludes them. */
    List<SimulatedWorker> permittedWorkers(StepKey step) {
        boolean hasPolicy = settings(step).isPresent();
        return simulation.workers.values().stream()
                .filter(w -> !hasPolicy || isPermitted(step, w.listing.id()))
                .toList();
    }
}
