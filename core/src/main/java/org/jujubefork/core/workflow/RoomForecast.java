package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.PassRemainder.FreeWorker;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Which capacity becomes free when, as it is expected after the last placement pass: running tasks
 * end after their remaining time, and work that waits already goes first. It covers the services
 * that have a queue whose durations are learned. Immutable.
 */
public final class RoomForecast {
    /** The forecast of an entry that does not forecast, or that has learned nothing yet. */
    public static final RoomForecast NONE =
            new RoomForecast(Optional.empty(), List.of(), Map.of(), Map.of(), Map.of());

    /**
     * Minimum time between two computations of the remaining times, which examine all running
     * tasks. Between them the forecast uses the capacity and the waiting work of the newest pass.
     */
    private static final long RUNNING_REFRESH_MILLIS = 500;

    /**
     * Change of the allocated part of a service after which the remaining times are computed early.
     */
    private static final double MAX_ALLOCATION_CHANGE = 0.1;

    private final Optional<RunningWork> running;
    private final List<FreeWorker> freeWorkers;
    private final Map<String, Double> allocatedFractions;
    private final Map<String, RoomTable> services;
    private final Map<String, RoomTable> teams;

    private RoomForecast(
            Optional<RunningWork> running,
            List<FreeWorker> freeWorkers,
            Map<String, Double> allocatedFractions,
            Map<String, RoomTable> services,
            Map<String, RoomTable> teams) {
        this.running = running;
        this.freeWorkers = freeWorkers;
        this.allocatedFractions = Map.copyOf(allocatedFractions);
        this.services = Map.copyOf(services);
        this.teams = Map.copyOf(teams);
    }

    /** Returns {@code state} with the forecast that its policies make after a placement pass. */
    static WorkflowState update(WorkflowState state, PassRemainder remainder) {
        return state.with(state.policies().forecast().forecast(state, remainder));
    }

    /** Returns the forecast after a pass that has led to {@code state}. */
    static RoomForecast of(WorkflowState state, PassRemainder remainder) {
        Set<String> learnedServices = learnedServices(state);
        if (learnedServices.isEmpty()) {
            return NONE;
        }
        RunningWork running =
                state.forecast()
                        .running
                        .filter(r -> isCurrent(r, state, remainder))
                        .orElseGet(() -> RunningWork.of(state));
        Map<String, RoomTable> services = new HashMap<>();
        Map<String, Double> allocatedFractions = new HashMap<>();
        Map<String, Map<Integer, Long>> work = serviceWork(state, remainder);
        remainder
                .capacities()
                .forEach(
                        (service, total) -> {
                            if (learnedServices.contains(service)) {
                                Resources used =
                                        remainder.allocated().getOrDefault(service, Resources.ZERO);
                                allocatedFractions.put(service, used.dominantShareOf(total));
                                services.put(
                                        service,
                                        new RoomTable(
                                                total.cpuMillis() - used.cpuMillis(),
                                                used.cpuMillis(),
                                                running.ofService(service),
                                                work.getOrDefault(service, Map.of())));
                            }
                        });
        return new RoomForecast(
                Optional.of(running),
                remainder.freeWorkers(),
                allocatedFractions,
                services,
                teamTables(state, remainder, running));
    }

    private static boolean isCurrent(
            RunningWork running, WorkflowState state, PassRemainder remainder) {
        return state.now() - running.sampledAt() < RUNNING_REFRESH_MILLIS
                && remainder.capacities().entrySet().stream()
                        .allMatch(
                                e -> {
                                    Resources used =
                                            remainder
                                                    .allocated()
                                                    .getOrDefault(e.getKey(), Resources.ZERO);
                                    long change =
                                            used.cpuMillis()
                                                    - running.ofService(e.getKey())
                                                            .totalMillicores();
                                    return Math.abs(change)
                                            <= MAX_ALLOCATION_CHANGE * e.getValue().cpuMillis();
                                });
    }

    private static Set<String> learnedServices(WorkflowState state) {
        Set<String> services = new HashSet<>();
        state.configuration().map(CellConfiguration::queues).orElse(List.of()).stream()
                .filter(q -> state.durations().isLearned(q.name()))
                .forEach(q -> services.add(q.service()));
        return services;
    }

    private static Map<String, Map<Integer, Long>> serviceWork(
            WorkflowState state, PassRemainder remainder) {
        Map<String, Map<Integer, Long>> work = new HashMap<>();
        Stream.concat(remainder.unplaced().stream(), remainder.untried().stream())
                .filter(c -> c.rank().reservesCapacity())
                .forEach(c -> addWork(state, c, c.queue().service(), work));
        return work;
    }

    /** Adds the mean work of the tasks of {@code candidate} that were not placed in the pass. */
    private static void addWork(
            WorkflowState state,
            Candidate candidate,
            String owner,
            Map<String, Map<Integer, Long>> work) {
        Job job = state.jobs().get(candidate.job().id());
        if (job == null) {
            return;
        }
        double millis =
                candidate.expectedMillis() * state.durations().meanRatio(candidate.queue().name());
        long added =
                Math.round(
                        job.progress(candidate.key()).waitingCount()
                                * candidate.definition().chargedCapacity().cpuMillis()
                                * millis);
        work.computeIfAbsent(owner, o -> new HashMap<>())
                .merge(candidate.queue().priority(), added, Long::sum);
    }

    private static Map<String, RoomTable> teamTables(
            WorkflowState state, PassRemainder remainder, RunningWork running) {
        Map<String, Map<Integer, Long>> work = new HashMap<>();
        remainder.unplaced().forEach(c -> addWork(state, c, c.job().team(), work));
        remainder.teamLimited().forEach(c -> addWork(state, c, c.job().team(), work));
        Map<String, RoomTable> teams = new HashMap<>();
        for (CellConfiguration.Team team :
                state.configuration().map(CellConfiguration::teams).orElse(List.of())) {
            long limit = team.limit().cpuMillis();
            if (limit > 0) {
                long used = running.ofTeam(team.name()).totalMillicores();
                teams.put(
                        team.name(),
                        new RoomTable(
                                limit - used,
                                used,
                                running.ofTeam(team.name()),
                                work.getOrDefault(team.name(), Map.of())));
            }
        }
        return teams;
    }

    /**
     * Returns how long a new job waits until its first steps can start, in milliseconds; empty if
     * the forecast does not cover the service of its queue.
     */
    OptionalLong expectedWaitMillis(WorkflowDefinition job, String team, Queue queue) {
        RoomTable service = services.get(queue.service());
        if (service == null) {
            return OptionalLong.empty();
        }
        long millicores =
                job.steps().stream()
                        .filter(s -> s.dependencies().isEmpty())
                        .mapToLong(RoomForecast::concurrentMillicores)
                        .max()
                        .orElse(0);
        long waitMillis = service.waitMillis(queue.priority(), millicores);
        RoomTable teamTable = teams.get(team);
        return OptionalLong.of(
                teamTable == null
                        ? waitMillis
                        : Math.max(waitMillis, teamTable.waitMillis(queue.priority(), millicores)));
    }

    private static long concurrentMillicores(StepDefinition step) {
        return step.chargedCapacity().cpuMillis() * (step.gang() ? step.taskCount() : 1);
    }

    /**
     * Returns how long a task of the least urgent priority waits behind all other work, in
     * milliseconds, by service; infinite if the end of the wait is not foreseeable.
     */
    public Map<String, Double> waitMillisByService() {
        Map<String, Double> waits = new HashMap<>();
        services.forEach(
                (service, table) -> {
                    long millis = table.waitMillis(Integer.MAX_VALUE, 1);
                    waits.put(
                            service, millis == RoomTable.NEVER ? Double.POSITIVE_INFINITY : millis);
                });
        return waits;
    }

    /**
     * Returns whether workers are free that could run each of the first steps of {@code job} now.
     *
     * @param rank the rank of the job, which may require a part of the service to be free
     */
    boolean hasRoom(WorkflowDefinition job, String team, Queue queue, Urgency.Rank rank) {
        Double allocatedFraction = allocatedFractions.get(queue.service());
        return allocatedFraction != null
                && allocatedFraction <= 1 - rank.minFreeFraction()
                && job.steps().stream()
                        .filter(s -> s.dependencies().isEmpty())
                        .allMatch(s -> hasRoom(s, team, queue));
    }

    private boolean hasRoom(StepDefinition step, String team, Queue queue) {
        RoomTable teamTable = teams.get(team);
        if (teamTable != null
                && teamTable.waitMillis(Integer.MIN_VALUE, concurrentMillicores(step)) > 0) {
            return false;
        }
        long missingPlaces = step.gang() ? step.taskCount() : 1;
        for (FreeWorker worker : freeWorkers) {
            if (StepFit.isEligible(step, queue, worker.node())) {
                missingPlaces -= StepFit.placesIn(step, worker.free());
                if (missingPlaces <= 0) {
                    return true;
                }
            }
        }
        return false;
    }
}
