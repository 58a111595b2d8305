package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * The operators' configuration of queues, services and teams.
 *
 * @param version its version, which rises
 * @param queues the queues with the addresses at which callers reach them
 * @param services the pools of workers
 * @param teams the teams with their keys and limits
 * @param maxBodyBytes the longest body of a call
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
     * @param host the host name of its calls
     * @param prefix the start of the paths of its calls
     * @param service the service whose workers run its tasks
     * @param priority 0 is the most urgent
     * @param maxAttempts how often a task may fail before its job fails
     * @param timeoutMillis the time limit of a call
     * @param objectiveFactor the factor on the longest chain of work in the objective of a job
     * @param objectiveBaseMillis the constant part of the objective of a job
     * @param open whether calls need no key
     * @param advice the cost of asking which workers may run a step, if that has to be asked
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
     * Says that an external service decides which workers may run a step.
     *
     * @param baseMillis time that each call takes
     * @param perWorkerMillis further time for each worker named
     * @param validMillis how long a ticket is valid
     */
    public record AdviceSettings(double baseMillis, double perWorkerMillis, long validMillis) {
        /** Returns the time that a call with {@code workers} workers takes. */
        public double costMillis(int workers) {
            return baseMillis + perWorkerMillis * workers;
        }
    }

    /**
     * A pool of workers.
     *
     * @param name its name
     * @param enforcesCapacity whether the workers refuse what does not fit
     */
    public record Service(String name, boolean enforcesCapacity) {}

    /**
     * A team.
     *
     * @param name its name
     * @param keys its access keys
     * @param weight its share when all is full
     * @param limit the most that it may have running, 0 in a component for no limit
     */
    public record Team(String name, List<String> keys, double weight, Resources limit) {
        /** Copies the keys. */
        public Team {
            keys = List.copyOf(keys);
        }
    }

    /** Returns the queue with the longest prefix of {@code path} at {@code host}. */
    public Optional<Queue> queueAt(String host, String path) {
        return queues.stream()
                .filter(q -> q.host().equals(host) && path.startsWith(q.prefix()))
                .max(Comparator.comparingInt(q -> q.prefix().length()));
    }

    /** Returns the queue {@code name}. */
    public Optional<Queue> queue(String name) {
        return queues.stream().filter(q -> q.name().equals(name)).findFirst();
    }

    /** Returns the team {@code name}. */
    public Optional<Team> team(String name) {
        return teams.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** Returns the team of {@code key}. */
    public Optional<Team> teamOfKey(String key) {
        return teams.stream().filter(t -> t.keys().contains(key)).findFirst();
    }
}
