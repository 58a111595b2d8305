package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * The operators' configuration of queues, services and teams.
 *
 * @param version the version, which increases with each change
 * @param queues the queues with the addresses at which callers reach them
 * @param services the pools of workers
 * @param teams the teams with their keys and limits
 * @param maxBodyBytes the maximum size of a request body
 */
public record CellConfiguration(
        long version,
        List<Queue> queues,
        List<Service> services,
        List<Team> teams,
        long maxBodyBytes) {
    /** Copies the lists. */
    public CellConfiguration {
        queues = List.copyOf(queues);
        services = List.copyOf(services);
        teams = List.copyOf(teams);
    }

    /**
     * A queue of jobs.
     *
     * @param name its name
     * @param host the host name of its requests
     * @param prefix the path prefix of its requests
     * @param service the service whose workers run its tasks
     * @param priority the priority, 0 is the most urgent
     * @param maxAttempts the number of failed runs of one task or gang after which the job fails
     * @param timeoutMillis the timeout of a request
     * @param objectiveFactor the factor by which the critical path is multiplied in the objective
     *     of a job
     * @param objectiveBaseMillis the constant part of the objective of a job
     * @param open whether requests are accepted without an access key
     * @param advice the cost of an advice request; empty if any worker of the service may run the
     *     steps
     */
    public record Queue(
            String name,
            String host,
            String prefix,
            String service,
            int priority,
            int maxAttempts,
            long timeoutMillis,
            double objectiveFactor,
            long objectiveBaseMillis,
            boolean open,
            Optional<AdviceSettings> advice) {}

    /**
     * Settings of a queue for which an external advice service decides which workers may run a
     * step.
     *
     * @param baseMillis the time that each request takes
     * @param perWorkerMillis the additional time for each worker that a request names
     * @param validMillis how long a ticket is valid after it was granted
     */
    public record AdviceSettings(double baseMillis, double perWorkerMillis, long validMillis) {
        /**
         * Returns the time in milliseconds that the service needs for a request that names {@code
         * workers} workers.
         */
        public double costMillis(int workers) {
            return baseMillis + perWorkerMillis * workers;
        }
    }

    /**
     * A pool of workers.
     *
     * @param name its name
     * @param enforcesCapacity whether the workers reject tasks that exceed their free capacity
     */
    public record Service(String name, boolean enforcesCapacity) {}

    /**
     * A team.
     *
     * @param name its name
     * @param keys its access keys
     * @param weight its share in jobs per second, 0 for no share; jobs over the share are rejected
     *     or run last while capacity is short
     * @param limit the maximum resources of its running tasks; a component of 0 means no limit
     */
    public record Team(String name, List<String> keys, double weight, Resources limit) {
        /** Copies the keys. */
        public Team {
            keys = List.copyOf(keys);
        }
    }

    /** Returns the queue at {@code host} with the longest prefix of {@code path}, if any. */
    public Optional<Queue> queueAt(String host, String path) {
        return queues.stream()
                .filter(q -> q.host().equals(host) && path.startsWith(q.prefix()))
                .max(Comparator.comparingInt(q -> q.prefix().length()));
    }

    /** Returns the queue with the given name, if any. */
    public Optional<Queue> queue(String name) {
        return queues.stream().filter(q -> q.name().equals(name)).findFirst();
    }

    /** Returns the team with the given name, if any. */
    public Optional<Team> team(String name) {
        return teams.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** Returns the team that {@code key} belongs to, if any. */
    public Optional<Team> teamOfKey(String key) {
        return teams.stream().filter(t -> t.keys().contains(key)).findFirst();
    }
}
