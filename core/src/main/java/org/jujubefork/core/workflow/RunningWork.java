package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * The expected remaining times of the running tasks.
 *
 * @param sampledAt when they were computed, in milliseconds of the monotonic clock
 * @param services the remaining times on the usable workers of each service
 * @param teams the remaining times of each team
 */
record RunningWork(
        long sampledAt, Map<String, RemainingTimes> services, Map<String, RemainingTimes> teams) {
    /**
     * Remaining time of a task that has exceeded its declared estimate in a queue that is not
     * learned, as a fraction of the time that it has run.
     */
    private static final double RUN_ON_FRACTION = 0.5;

    /** Copies the maps. */
    RunningWork {
        services = Map.copyOf(services);
        teams = Map.copyOf(teams);
    }

    /** Returns the remaining times of the tasks on the usable workers of {@code service}. */
    RemainingTimes ofService(String service) {
        return services.getOrDefault(service, RemainingTimes.NONE);
    }

    /** Returns the remaining times of the tasks of {@code team}. */
    RemainingTimes ofTeam(String team) {
        return teams.getOrDefault(team, RemainingTimes.NONE);
    }

    /** Returns the remaining times of the tasks that run in {@code state}. */
    static RunningWork of(WorkflowState state) {
        Map<String, RemainingTimes.Builder> services = new HashMap<>();
        Map<String, RemainingTimes.Builder> teams = new HashMap<>();
        for (WorkerNode node : state.workers().values()) {
            RemainingTimes.Builder service =
                    state.isOpenForStarts(node)
                            ? services.computeIfAbsent(
                                    node.listing().service(), s -> new RemainingTimes.Builder())
                            : new RemainingTimes.Builder();
            for (Map.Entry<TaskKey, WorkerNode.Charge> entry : node.charges().entrySet()) {
                String team = entry.getValue().team().orElse("");
                add(
                        state,
                        entry.getKey(),
                        entry.getValue(),
                        service,
                        teams.computeIfAbsent(team, t -> new RemainingTimes.Builder()));
            }
        }
        return new RunningWork(state.now(), built(services), built(teams));
    }

    private static Map<String, RemainingTimes> built(Map<String, RemainingTimes.Builder> builders) {
        Map<String, RemainingTimes> built = new HashMap<>();
        builders.forEach((k, b) -> built.put(k, b.build()));
        return built;
    }

    private static void add(
            WorkflowState state,
            TaskKey key,
            WorkerNode.Charge charge,
            RemainingTimes.Builder service,
            RemainingTimes.Builder team) {
        long millicores = charge.size().cpuMillis();
        Job job = state.jobs().get(key.job());
        // Runs that are being stopped and those of unknown jobs end soon.
        boolean endsSoon = charge.stopping() || job == null || !job.hasTask(key);
        if (!endsSoon && job.step(key.stepKey()).service()) {
            service.addEndless(millicores);
            team.addEndless(millicores);
            return;
        }
        long remainingMillis = endsSoon ? 0 : remainingMillis(state, job, key, charge);
        service.add(remainingMillis, millicores);
        team.add(remainingMillis, millicores);
    }

    private static long remainingMillis(
            WorkflowState state, Job job, TaskKey key, WorkerNode.Charge charge) {
        long elapsedMillis = charge.sentAt() < 0 ? 0 : state.now() - charge.sentAt();
        long estimateMillis = job.step(key.stepKey()).estimateMillis();
        long remaining =
                state.policies()
                        .durations()
                        .remainingMillis(
                                state.durations(), job.queue(), estimateMillis, elapsedMillis);
        boolean runsOn = remaining <= 0 && estimateMillis > 0;
        return runsOn ? Math.round(elapsedMillis * RUN_ON_FRACTION) : Math.max(0, remaining);
    }
}
