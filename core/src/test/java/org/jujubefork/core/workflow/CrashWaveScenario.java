package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;

/**
 * A seeded day of the simulation in which half of the workers crash for good again and again, while
 * the first requests of new jobs keep the advice service busy. Only the jobs of the first seconds
 * are judged, because the service cannot serve all jobs in time.
 *
 * <p>The judged jobs arrive in 10 s. Asking about all 24 workers once for each of them takes the
 * service at most 1.2 * 1.15 * 10 s = 13.8 s (load, cost of 24 workers instead of 12), and until
 * they are judged it has 46 s of load and 14 s of calm: time for four requests for each of them.
 */
final class CrashWaveScenario {
    private static final String SERVICE = "s";
    private static final String TEAM = "all";

    /** With two entries, one may have a long request in flight at a time. */
    private static final int ENTRY_COUNT = 2;

    private static final int WORKER_COUNT = 24;
    private static final Resources WORKER_CAPACITY = Resources.of(16_000, 64_000, 0);

    /** Number of workers that the first request of a small step names. */
    private static final int FIRST_REQUEST_WORKERS = 12;

    /** Validity of the tickets, as at the site of issue 36. */
    private static final long TICKET_VALID_MILLIS = 1_500;

    private static final int ESTIMATE_MILLIS = 3_000;
    private static final int MAX_RUN_MILLIS = 4_000;
    private static final int MAX_SMALL_TASK_COUNT = 6;
    private static final int MAX_TASK_COUNT = 17;
    private static final int MIN_TASK_MILLICORES = 1_000;
    private static final int MAX_TASK_MILLICORES = 2_000;

    private static final int START_MILLIS = 2_000;
    private static final int JUDGED_ARRIVAL_MILLIS = 10_000;
    private static final int WAVE_PHASE_MILLIS = 40_000;
    private static final int WAVE_INTERVAL_MILLIS = 6_000;

    /** Time after which as many new workers are listed as have crashed. */
    private static final int REPLACEMENT_MILLIS = 600;

    private static final int LOAD_AFTER_WAVES_MILLIS = 6_000;
    private static final long CHECKED_MILLIS = 10_000;

    /** Range of the time that the service needs for the first requests, per time that it has. */
    private static final double MIN_LOAD = 0.9;

    private static final double MAX_LOAD = 1.2;

    /**
     * A queue of the day, with the costs of the site of issue 36.
     *
     * @param name the name of the queue
     * @param priority its priority, 0 is the most urgent
     * @param loadShare the share of the load that its jobs cause
     * @param advice the costs of its requests
     */
    private record LoadedQueue(String name, int priority, double loadShare, AdviceSettings advice) {
        static LoadedQueue of(
                String name, int priority, double loadShare, double base, double perWorker) {
            return new LoadedQueue(
                    name,
                    priority,
                    loadShare,
                    new AdviceSettings(base, perWorker, TICKET_VALID_MILLIS));
        }

        CellConfiguration.Queue configuration() {
            return new CellConfiguration.Queue(
                    name,
                    "h",
                    "/" + name + "/",
                    SERVICE,
                    priority,
                    Simulation.ATTEMPTS,
                    ESTIMATE_MILLIS,
                    2,
                    400,
                    true,
                    Optional.of(advice));
        }

        /** Returns the mean time between two jobs that cause {@code load}. */
        int intervalMillis(double load) {
            return (int) (advice.costMillis(FIRST_REQUEST_WORKERS) / (load * loadShare));
        }
    }

    private static final List<LoadedQueue> QUEUES =
            List.of(
                    LoadedQueue.of("medium", 0, 0.23, 53, 0.75),
                    LoadedQueue.of("costly", 1, 0.75, 520, 7.4),
                    LoadedQueue.of("cheap", 2, 0.02, 7.4, 0.11));

    final Simulation simulation;
    final LostRuleChecker lostRule;
    private final SimulatedFaults faults;
    private final long calmMillis;
    private final double load;
    private Set<String> judgedJobs = Set.of();
    private boolean isLoadEnded;
    private int nextJob;

    /**
     * Creates the day of {@code seed}.
     *
     * @param calmMillis the time from the end of the load until work must make progress
     */
    CrashWaveScenario(long seed, long calmMillis) {
        this.calmMillis = calmMillis;
        simulation = new Simulation(seed, ENTRY_COUNT, 0, configuration());
        simulation.runsPerFailure = 20;
        simulation.maxRunMillis = MAX_RUN_MILLIS;
        addWorkers(WORKER_COUNT);
        faults = new SimulatedFaults(simulation);
        lostRule = new LostRuleChecker(simulation, job -> judgedJobs.contains(job));
        load = simulation.random.nextDouble(MIN_LOAD, MAX_LOAD);
    }

    private static CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                QUEUES.stream().map(LoadedQueue::configuration).toList(),
                List.of(new CellConfiguration.Service(SERVICE, false)),
                List.of(new CellConfiguration.Team(TEAM, List.of(), 0, Resources.ZERO)),
                100_000);
    }

    private void addWorkers(int count) {
        for (int i = 0; i < count; i++) {
            simulation.addWorker(SERVICE, WORKER_CAPACITY, List.of());
        }
    }

    private void submitOften(LoadedQueue queue) {
        if (isLoadEnded) {
            return;
        }
        String id = String.format("%016x", nextJob++);
        simulation.callers.submit(id, job(), queue.name(), TEAM);
        int interval = queue.intervalMillis(load);
        simulation.after(
                interval / 2 + simulation.random.nextInt(interval), () -> submitOften(queue));
    }

    /** Returns a job of one step without gangs; a quarter of the steps may have many tasks. */
    private WorkflowDefinition job() {
        int maxCount = simulation.random.nextInt(4) == 0 ? MAX_TASK_COUNT : MAX_SMALL_TASK_COUNT;
        int count = 1 + simulation.random.nextInt(maxCount);
        int millicores = simulation.random.nextInt(MIN_TASK_MILLICORES, MAX_TASK_MILLICORES);
        return TestSteps.job(
                TestSteps.step(count, Resources.of(millicores, 1_000, 0), ESTIMATE_MILLIS));
    }

    private void crashHalf() {
        List<SimulatedWorker> workers =
                simulation.workers.values().stream()
                        .filter(w -> w.listed)
                        .sorted(Comparator.comparing(w -> w.listing.id()))
                        .toList();
        List<SimulatedWorker> rest = new ArrayList<>(workers);
        List<SimulatedWorker> crashed = new ArrayList<>();
        while (crashed.size() < workers.size() / 2) {
            crashed.add(rest.remove(simulation.random.nextInt(rest.size())));
        }
        crashed.forEach(SimulatedWorker::crash);
        simulation.after(REPLACEMENT_MILLIS, () -> replace(crashed));
    }

    private void replace(List<SimulatedWorker> crashed) {
        crashed.forEach(w -> w.listed = false);
        addWorkers(crashed.size());
    }

    /** Runs the day. */
    void run() {
        simulation.followers.watch();
        // Calls are not delayed or lost: ProgressScenario covers these faults.
        faults.stop();
        simulation.run(START_MILLIS);
        QUEUES.forEach(this::submitOften);
        for (int at = WAVE_INTERVAL_MILLIS / 2;
                at < WAVE_PHASE_MILLIS;
                at += WAVE_INTERVAL_MILLIS) {
            simulation.after(at, this::crashHalf);
        }
        simulation.run(JUDGED_ARRIVAL_MILLIS);
        judgedJobs = Set.copyOf(simulation.callers.acceptedJobs());
        simulation.run(WAVE_PHASE_MILLIS - JUDGED_ARRIVAL_MILLIS);
        if (simulation.random.nextBoolean()) {
            simulation.entries.forEach(faults::kill);
        }
        simulation.run(LOAD_AFTER_WAVES_MILLIS);
        isLoadEnded = true;
        simulation.run(calmMillis);
        lostRule.watch();
        simulation.run(CHECKED_MILLIS);
    }
}
