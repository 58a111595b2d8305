package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Resources;

/** The configuration and the random jobs of the simulations that ask for progress. */
final class ProgressWorkload {
    static final String SMALL_SERVICE = "u";
    static final String NARROW_TEAM = "narrow";
    static final List<CellConfiguration.Team> TEAMS =
            List.of(
                    new CellConfiguration.Team(
                            NARROW_TEAM, List.of(), 0, Resources.of(10_000, 0, 0)),
                    new CellConfiguration.Team("medium", List.of(), 0, Resources.of(48_000, 0, 0)),
                    new CellConfiguration.Team("shared", List.of(), 2, Resources.of(0, 0, 0)),
                    new CellConfiguration.Team("wide", List.of(), 0, Resources.of(120_000, 0, 0)));
    private static final List<CellConfiguration.Queue> QUEUES =
            List.of(
                    queue("plain", "s", 0, Optional.empty()),
                    queue("cheap", SMALL_SERVICE, 0, advice(5, 0.5, 20_000)),
                    queue("medium", "s", 1, advice(20, 3, 6_000)),
                    queue("costly", "s", 2, advice(100, 15, 3_000)));
    static final int QUEUE_COUNT = QUEUES.size();

    private static final int MAX_SMALL_MILLICORES = 4_000;

    private final SplittableRandom random;

    ProgressWorkload(SplittableRandom random) {
        this.random = random;
    }

    private static Optional<CellConfiguration.AdviceSettings> advice(
            double base, double perWorker, long valid) {
        return Optional.of(new CellConfiguration.AdviceSettings(base, perWorker, valid));
    }

    private static CellConfiguration.Queue queue(
            String name,
            String service,
            int priority,
            Optional<CellConfiguration.AdviceSettings> advice) {
        return new CellConfiguration.Queue(
                name,
                "h",
                "/" + name + "/",
                service,
                priority,
                Simulation.ATTEMPTS,
                3_000,
                2,
                400,
                true,
                advice);
    }

    /** Returns the configuration without changes. */
    static CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                QUEUES,
                List.of(
                        new CellConfiguration.Service("s", false),
                        new CellConfiguration.Service(SMALL_SERVICE, false)),
                TEAMS,
                100_000);
    }

    String queue() {
        return QUEUES.get(random.nextInt(QUEUES.size())).name();
    }

    String team() {
        return TEAMS.get(random.nextInt(TEAMS.size())).name();
    }

    /** Returns a random job; some can never run. */
    WorkflowDefinition job(int fleetSize) {
        List<StepDefinition> steps = new ArrayList<>();
        int stepCount = 1 + random.nextInt(3);
        for (int i = 0; i < stepCount; i++) {
            steps.add(step(i, fleetSize));
        }
        return new WorkflowDefinition("p", steps, 0, 0, 0);
    }

    private StepDefinition step(int number, int fleetSize) {
        long estimate = random.nextInt(8) == 0 ? 20_000 : random.nextInt(3_000);
        List<Integer> dependencies = number == 0 ? List.of() : List.of(number - 1);
        Resources small = Resources.of(500 + random.nextInt(MAX_SMALL_MILLICORES), 1_000, 0);
        Resources large = Resources.of(7_000 + random.nextInt(3_000), 4_000, 0);
        return switch (random.nextInt(20)) {
            case 0, 1, 2, 3 -> // A gang of medium width.
                    TestSteps.step(2 + random.nextInt(9), small, estimate, dependencies, true);
            case 4 -> // A gang as wide as the fleet.
                    TestSteps.step(fleetSize, large, estimate, dependencies, true);
            case 5 -> // A gang that exceeds the limit of most teams, or the permitted workers.
                    TestSteps.step(2 * fleetSize, large, estimate, dependencies, true);
            case 6 -> // A task that is larger than every worker.
                    TestSteps.step(
                            1, Resources.of(40_000, 1_000, 0), estimate, dependencies, false);
            case 7, 8 ->
                    TestSteps.labeled(1 + random.nextInt(4), small, estimate, dependencies, "b");
            case 9, 10 ->
                    TestSteps.step(1 + random.nextInt(4), large, estimate, dependencies, false);
            default -> TestSteps.step(1 + random.nextInt(6), small, estimate, dependencies, false);
        };
    }
}
