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
     * @param capacity the processors of its usable workers in millicores
     * @param waiting processor time that waiting tasks need by their estimates, by the priority of
     *     their queue, in millicores times milliseconds
     */
    public record ServiceBacklog(long capacity, Map<Integer, Long> waiting) {
        /** Copies the map. */
        public ServiceBacklog {
            waiting = Map.copyOf(waiting);
        }

        private long waitMillis(int priority) {
            long before =
                    waiting.entrySet().stream()
                            .filter(e -> e.getKey() <= priority)
                            .mapToLong(Map.Entry::getValue)
                            .sum();
            return capacity <= 0 ? 0 : before / capacity;
        }
    }

    /**
     * Returns the pressure of {@code left}, which found no room. Work beyond the share of its team
     * or without hope holds up nothing else.
     *
     * @param capacities the processors of the usable workers of each service in millicores
     */
    static ServiceBacklogs of(List<Candidate> left, Map<String, Long> capacities) {
        Map<String, Map<Integer, Long>> waiting = new HashMap<>();
        for (Candidate candidate : left) {
            if (candidate.rank().holdsRoom()) {
                waiting.computeIfAbsent(candidate.queue().service(), s -> new HashMap<>())
                        .merge(candidate.queue().priority(), candidate.work(), Long::sum);
            }
        }
        Map<String, ServiceBacklog> services = new HashMap<>();
        capacities.forEach(
                (s, c) ->
                        services.put(s, new ServiceBacklog(c, waiting.getOrDefault(s, Map.of()))));
        return new ServiceBacklogs(services);
    }

    /** Returns whether work within the shares finds no room at {@code service}. */
    boolean isFull(String service) {
        ServiceBacklog load = services.get(service);
        return load != null && !load.waiting().isEmpty();
    }

    /**
     * Returns how long work of {@code priority} waits for room at {@code service}, if all workers
     * take what waits before it.
     */
    long waitMillis(String service, int priority) {
        ServiceBacklog load = services.get(service);
        return load == null ? 0 : load.waitMillis(priority);
    }
}
