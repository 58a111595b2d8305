package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.PassRemainder.FreeWorker;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * The work that waits for free capacity after the last placement pass, and the capacity that is
 * left for new work.
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
     * @param isWithoutRoom whether the last pass has found no room for one of the steps
     * @param room the capacity that is left for new work
     */
    public record ServiceBacklog(
            long capacityMillicores,
            Map<Integer, Long> work,
            List<WaitingStep> steps,
            boolean isWithoutRoom,
            UnclaimedRoom room) {
        /** Copies the collections. */
        public ServiceBacklog {
            work = Map.copyOf(work);
            steps = List.copyOf(steps);
        }

        private boolean hasWaitingWork() {
            return isWithoutRoom || room.isExceeded();
        }

        private ServiceBacklog withClaim(long millicores) {
            return new ServiceBacklog(
                    capacityMillicores, work, steps, isWithoutRoom, room.withClaim(millicores));
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
     * Returns the backlogs that consist of the steps that a pass has not placed or not tried. Steps
     * that are too late and those of teams that yield are excluded, because they delay no other
     * work.
     *
     * @param delaysOthers whether the waiting work of a team delays that of other teams
     */
    static ServiceBacklogs of(PassRemainder remainder, Predicate<String> delaysOthers) {
        Map<String, Map<Integer, Long>> work = new HashMap<>();
        Map<String, List<WaitingStep>> steps = new HashMap<>();
        List<Candidate> unplaced = delaying(remainder.unplaced(), delaysOthers);
        List<Candidate> waiting = new ArrayList<>(unplaced);
        waiting.addAll(delaying(remainder.untried(), delaysOthers));
        for (Candidate candidate : waiting) {
            work.computeIfAbsent(candidate.queue().service(), s -> new HashMap<>())
                    .merge(candidate.queue().priority(), candidate.waitingWork(), Long::sum);
            steps.computeIfAbsent(candidate.queue().service(), s -> new ArrayList<>())
                    .add(new WaitingStep(DelayCost.of(candidate), candidate.waitingWork()));
        }
        Set<String> withoutRoom =
                unplaced.stream().map(c -> c.queue().service()).collect(Collectors.toSet());
        Map<String, Long> free = freeMillicores(remainder);
        Map<String, Long> claimed = claimedMillicores(remainder);
        Map<String, ServiceBacklog> services = new HashMap<>();
        for (Map.Entry<String, Resources> capacity : remainder.capacities().entrySet()) {
            String service = capacity.getKey();
            services.put(
                    service,
                    new ServiceBacklog(
                            capacity.getValue().cpuMillis(),
                            work.getOrDefault(service, Map.of()),
                            steps.getOrDefault(service, List.of()),
                            withoutRoom.contains(service),
                            new UnclaimedRoom(
                                    free.getOrDefault(service, 0L),
                                    claimed.getOrDefault(service, 0L))));
        }
        return new ServiceBacklogs(services);
    }

    /** Returns those of {@code candidates} that delay other work. */
    private static List<Candidate> delaying(
            List<Candidate> candidates, Predicate<String> delaysOthers) {
        return candidates.stream()
                .filter(c -> c.rank().reservesCapacity())
                .filter(c -> delaysOthers.test(c.job().team()))
                .toList();
    }

    private static Map<String, Long> freeMillicores(PassRemainder remainder) {
        Map<String, Long> free = new HashMap<>();
        for (FreeWorker worker : remainder.freeWorkers()) {
            free.merge(worker.node().listing().service(), worker.free().cpuMillis(), Long::sum);
        }
        return free;
    }

    /** Steps that are too late claim nothing, because they are placed after all others. */
    private static Map<String, Long> claimedMillicores(PassRemainder remainder) {
        Map<String, Long> claimed = new HashMap<>();
        for (Candidate candidate : remainder.untried()) {
            if (candidate.rank() != Urgency.Rank.TOO_LATE) {
                claimed.merge(
                        candidate.queue().service(), candidate.waitingMillicores(), Long::sum);
            }
        }
        return claimed;
    }

    /**
     * Returns whether work waits for capacity of {@code service}, or will wait for it as soon as it
     * is stored and has its tickets. Work that the last pass has not placed does not count if it is
     * over the share of its team or too late.
     */
    boolean hasBacklog(String service) {
        ServiceBacklog backlog = services.get(service);
        return backlog != null && backlog.hasWaitingWork();
    }

    /**
     * Returns whether the last pass has left {@code millicores} of {@code service} free that no
     * accepted work claims.
     */
    boolean hasUnclaimedRoom(String service, long millicores) {
        ServiceBacklog backlog = services.get(service);
        return backlog != null && backlog.room().fits(millicores);
    }

    /**
     * Returns a copy in which work that was accepted after the last pass claims {@code millicores}
     * of {@code service}.
     */
    ServiceBacklogs withClaim(String service, long millicores) {
        ServiceBacklog backlog = services.get(service);
        if (backlog == null) {
            return this;
        }
        Map<String, ServiceBacklog> next = new HashMap<>(services);
        next.put(service, backlog.withClaim(millicores));
        return new ServiceBacklogs(next);
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
