package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * The work that waits for free capacity after the last placement pass.
 *
 * @param services the backlog of each service that has usable workers
 */
public record ServiceBacklogs(Map<String, ServiceBacklog> services) {
    /** No service has a backlog. */
    public static final ServiceBacklogs NONE = new ServiceBacklogs(Map.of());

    /** Copies the map. */
    public ServiceBacklogs {
        services = Map.copyOf(services);
    }

    /**
     * The backlog of a service.
     *
     * @param capacityMillicores the CPU capacity of its usable workers
     * @param work the estimated CPU time of the waiting tasks in millicores times milliseconds, by
     *     the priority of their queue
     * @param steps the steps with waiting tasks
     */
    public record ServiceBacklog(
            long capacityMillicores, Map<Integer, Long> work, List<WaitingStep> steps) {
        /** Copies the collections. */
        public ServiceBacklog {
            work = Map.copyOf(work);
            steps = List.copyOf(steps);
        }

        private long expectedWaitMillis(int priority) {
            long workAhead =
                    work.entrySet().stream()
                            .filter(e -> e.getKey() <= priority)
                            .mapToLong(Map.Entry::getValue)
                            .sum();
            return waitMillis(workAhead);
        }

        private long waitMillisBefore(DelayCost cost, long now) {
            return waitMillis(
                    steps.stream()
                            .filter(s -> s.cost().isBefore(cost, now))
                            .mapToLong(WaitingStep::work)
                            .sum());
        }

        private long waitMillis(long workAhead) {
            return capacityMillicores <= 0 ? 0 : workAhead / capacityMillicores;
        }
    }

    /**
     * A step with waiting tasks.
     *
     * @param cost the cost of its delay
     * @param work the estimated CPU time of its waiting tasks in millicores times milliseconds
     */
    record WaitingStep(DelayCost cost, long work) {}

    /**
     * Returns the backlogs that consist of the steps in {@code unplaced}. Steps of teams over their
     * share and steps that are too late are excluded, because they delay no other work.
     *
     * @param ledger what the teams use
     * @param capacities the CPU capacity of the usable workers of each service in millicores
     */
    static ServiceBacklogs of(
            List<Candidate> unplaced, TeamLedger ledger, Map<String, Long> capacities) {
        Map<String, Map<Integer, Long>> work = new HashMap<>();
        Map<String, List<WaitingStep>> steps = new HashMap<>();
        for (Candidate candidate : unplaced) {
            if (candidate.rank().reservesCapacity()
                    && !ledger.isOverShare(candidate.job().team())) {
                work.computeIfAbsent(candidate.queue().service(), s -> new HashMap<>())
                        .merge(candidate.queue().priority(), candidate.waitingWork(), Long::sum);
                steps.computeIfAbsent(candidate.queue().service(), s -> new ArrayList<>())
                        .add(new WaitingStep(DelayCost.of(candidate), candidate.waitingWork()));
            }
        }
        Map<String, ServiceBacklog> services = new HashMap<>();
        capacities.forEach(
                (s, c) ->
                        services.put(
                                s,
                                new ServiceBacklog(
                                        c,
                                        work.getOrDefault(s, Map.of()),
                                        steps.getOrDefault(s, List.of()))));
        return new ServiceBacklogs(services);
    }

    /**
     * Returns whether work waits for capacity of {@code service}, not counting work over the share
     * of its team or too late.
     */
    boolean hasBacklog(String service) {
        ServiceBacklog backlog = services.get(service);
        return backlog != null && !backlog.work().isEmpty();
    }

    /**
     * Returns how long new work of {@code priority} would wait for capacity of {@code service}, if
     * all workers of the service first complete the work of the same or a more urgent priority.
     */
    long expectedWaitMillis(String service, int priority) {
        ServiceBacklog backlog = services.get(service);
        return backlog == null ? 0 : backlog.expectedWaitMillis(priority);
    }

    /**
     * Returns how long new work of {@code cost} would wait for capacity of {@code service}, if all
     * workers of the service first complete the work that goes before it at {@code now}.
     */
    long waitMillisBefore(String service, DelayCost cost, long now) {
        ServiceBacklog backlog = services.get(service);
        return backlog == null ? 0 : backlog.waitMillisBefore(cost, now);
    }
}
