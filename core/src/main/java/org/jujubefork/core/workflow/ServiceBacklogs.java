package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * How much work waits for room, as the last pass of the placement left it.
 *
 * @param services the load of each service that has workers
 */
public record ServiceBacklogs(Map<String, ServiceBacklog> services) {
    /** Nothing waits. */
    public static final ServiceBacklogs NONE = new ServiceBacklogs(Map.of());

    /** Copies the map. */
    public ServiceBacklogs {
        services = Map.copyOf(services);
    }

    /**
     * The load of a service.
     *
     * @param capacityMillicores the processors of its usable workers in millicores
     * @param work processor time that waiting tasks need by their estimates, by the priority of
     *     their queue, in millicores times milliseconds
     */
    public record ServiceBacklog(long capacityMillicores, Map<Integer, Long> work) {
        /** Copies the map. */
        public ServiceBacklog {
            work = Map.copyOf(work);
        }

        private long expectedWaitMillis(int priority) {
            long workAhead =
                    work.entrySet().stream()
                            .filter(e -> e.getKey() <= priority)
                            .mapToLong(Map.Entry::getValue)
                            .sum();
            return capacityMillicores <= 0 ? 0 : workAhead / capacityMillicores;
        }
    }

    /**
     * Returns the pressure of {@code unplaced}, which found no room. Work beyond the share of its
     * team or without hope holds up nothing else.
     *
     * @param capacities the processors of the usable workers of each service in millicores
     */
    static ServiceBacklogs of(List<Candidate> unplaced, Map<String, Long> capacities) {
        Map<String, Map<Integer, Long>> work = new HashMap<>();
        for (Candidate candidate : unplaced) {
            if (candidate.rank().reservesCapacity()) {
                work.computeIfAbsent(candidate.queue().service(), s -> new HashMap<>())
                        .merge(candidate.queue().priority(), candidate.waitingWork(), Long::sum);
            }
        }
        Map<String, ServiceBacklog> services = new HashMap<>();
        capacities.forEach(
                (s, c) -> services.put(s, new ServiceBacklog(c, work.getOrDefault(s, Map.of()))));
        return new ServiceBacklogs(services);
    }

    /** Returns whether work within the shares finds no room at {@code service}. */
    boolean hasBacklog(String service) {
        ServiceBacklog backlog = services.get(service);
        return backlog != null && !backlog.work().isEmpty();
    }

    /**
     * Returns how long work of {@code priority} waits for room at {@code service}, if all workers
     * take what waits before it.
     */
    long expectedWaitMillis(String service, int priority) {
        ServiceBacklog backlog = services.get(service);
        return backlog == null ? 0 : backlog.expectedWaitMillis(priority);
    }
}
