package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.Test;

/** Guards against an order of waiting work that delays the work whose delay costs most. */
public final class DelayCostTest {
    private static final long NOW_MILLIS = 100_000;
    private static final WorkflowState STATE =
            WorkflowState.initial("e0", 1_000).withTime(NOW_MILLIS);

    /** The objective of a job in this queue is 1.5 times its estimate plus 400 ms. */
    private static final CellConfiguration.Queue SHORT = queue("short", 0, 1.5, 400);

    /** The objective of a job in this queue is four times its estimate plus 3 s. */
    private static final CellConfiguration.Queue LONG = queue("long", 1, 4, 3_000);

    private static CellConfiguration.Queue queue(
            String name, int priority, double factor, long baseMillis) {
        return new CellConfiguration.Queue(
                name,
                "h",
                "/" + name,
                "s",
                priority,
                3,
                3_000,
                factor,
                baseMillis,
                true,
                Optional.empty());
    }

    /** Returns a step of tasks of one core. */
    private static StepDefinition tasks(int count, long estimateMillis, boolean isGang) {
        return TestSteps.step(
                count, Resources.of(1_000, 100, 0), estimateMillis, List.of(), isGang);
    }

    private static Placement.Candidate candidate(
            String id, CellConfiguration.Queue queue, long acceptedAt, StepDefinition step) {
        return candidate(STATE, id, queue, new Job.Acceptance(1, acceptedAt, 0, true), step);
    }

    private static Placement.Candidate candidate(
            WorkflowState state,
            String id,
            CellConfiguration.Queue queue,
            Job.Acceptance acceptance,
            StepDefinition step) {
        Job job =
                Job.submitted(id, queue.name(), "", TestSteps.job(step), acceptance)
                        .withOccurrence(0);
        StepKey key = new StepKey(id, 0, 0);
        Job ready = job.with(key, job.progress(key).withReadyAt(acceptance.acceptedAt()));
        return Placement.candidate(state, ready, key, queue);
    }

    private static List<String> ordered(Placement.Candidate... waiting) {
        List<Placement.Candidate> sorted = new ArrayList<>(List.of(waiting));
        sorted.sort(DelayCost.order());
        return sorted.stream().map(c -> c.job().id()).toList();
    }

    /** The short job has 850 ms of slack, the long jobs have 9 s and 200 ms. */
    @Test
    public void workWithMuchSlackYieldsAcrossPriorities() {
        assertEquals(
                ordered(
                        candidate("ample", LONG, NOW_MILLIS, tasks(1, 2_000, false)),
                        candidate("short", SHORT, NOW_MILLIS, tasks(1, 1_000, false)),
                        candidate("urgent", LONG, NOW_MILLIS - 8_800, tasks(1, 2_000, false))),
                List.of("short", "urgent", "ample"));
        // Within the yield of a priority the earlier latest start does not decide.
        assertEquals(
                ordered(
                        candidate("urgent", LONG, NOW_MILLIS - 8_800, tasks(1, 2_000, false)),
                        candidate("on-time", SHORT, NOW_MILLIS, tasks(1, 4_000, false))),
                List.of("urgent", "on-time"));
    }

    /** Guards against spending capacity on a late job while another one becomes late. */
    @Test
    public void lateWorkYieldsToWorkThatCanBeOnTime() {
        assertEquals(
                ordered(
                        candidate("late", SHORT, NOW_MILLIS - 900, tasks(1, 1_000, false)),
                        candidate("on-time", SHORT, NOW_MILLIS, tasks(1, 1_000, false))),
                List.of("on-time", "late"));
        assertEquals(
                ordered(
                        candidate("ample", LONG, NOW_MILLIS, tasks(1, 2_000, false)),
                        candidate("late", SHORT, NOW_MILLIS - 900, tasks(1, 1_000, false))),
                List.of("late", "ample"),
                "work with ample slack goes before a late job that can still be of use");
    }

    /** Guards against work that is of no use any more delaying other work. */
    @Test
    public void workThatIsTooLateGoesLast() {
        assertEquals(
                ordered(
                        candidate("too-late", SHORT, NOW_MILLIS - 60_000, tasks(1, 1_000, false)),
                        candidate("late", LONG, NOW_MILLIS - 20_000, tasks(1, 2_000, false)),
                        candidate("ample", LONG, NOW_MILLIS, tasks(1, 2_000, false))),
                List.of("ample", "late", "too-late"));
    }

    @Test
    public void teamOverItsShareGoesAfterWorkThatIsLate() {
        Placement.Candidate overShare =
                candidate(
                        STATE,
                        "over-share",
                        SHORT,
                        new Job.Acceptance(1, NOW_MILLIS, 0, false),
                        tasks(1, 1_000, false));
        assertEquals(
                ordered(
                        overShare,
                        candidate("late", SHORT, NOW_MILLIS - 900, tasks(1, 1_000, false))),
                List.of("late", "over-share"));
    }

    @Test
    public void smallWorkGoesFirstAtTheSameUrgency() {
        assertEquals(
                ordered(
                        candidate("large", SHORT, NOW_MILLIS, tasks(80, 1_000, false)),
                        candidate("small", SHORT, NOW_MILLIS, tasks(1, 1_000, false))),
                List.of("small", "large"));
    }

    /** Guards against a gang that gets its workers only when it is already late. */
    @Test
    public void gangGoesBeforeOtherWorkOfTheSameUrgency() {
        assertEquals(
                ordered(
                        candidate("tasks", LONG, NOW_MILLIS, tasks(20, 2_000, false)),
                        candidate("gang", LONG, NOW_MILLIS, tasks(20, 2_000, true))),
                List.of("gang", "tasks"));
    }

    /** Guards against work without an objective, such as a service, that never gets its turn. */
    @Test
    public void workWithoutObjectiveKeepsItsTurn() {
        assertEquals(
                ordered(
                        candidate("new", SHORT, NOW_MILLIS, tasks(1, 1_000, false)),
                        candidate(
                                "service",
                                SHORT,
                                NOW_MILLIS - 3_600_000,
                                TestSteps.service(Resources.ZERO))),
                List.of("service", "new"));
    }

    /**
     * Guards against work that waits for ever because smaller work keeps arriving: whatever arrives
     * more than the stated time after a step goes behind it.
     */
    @Test
    public void nothingPassesOlderWorkAfterTheStatedTime() {
        Random random = new Random(17);
        for (int i = 0; i < 20_000; i++) {
            StepDefinition step =
                    tasks(
                            1 + random.nextInt(500),
                            1 + random.nextInt(20_000),
                            random.nextBoolean());
            CellConfiguration.Queue queue = random.nextBoolean() ? SHORT : LONG;
            Placement.Candidate old = candidate("old", queue, NOW_MILLIS, step);
            long passedUntil = NOW_MILLIS + DelayCost.MAX_TURN_MILLIS + DelayCost.GANG_LEAD_MILLIS;
            Placement.Candidate later =
                    candidate(
                            STATE.withTime(passedUntil + 1),
                            "later",
                            SHORT,
                            new Job.Acceptance(1, passedUntil + 1, 0, true),
                            tasks(1, 1 + random.nextInt(1_000), random.nextBoolean()));
            DelayCost oldCost = DelayCost.of(old);
            // When the old job is of no use any more, it waits for spare capacity.
            boolean isUseful = passedUntil + 1 <= oldCost.worthlessAt();
            assertTrue(
                    !isUseful || oldCost.isBefore(DelayCost.of(later), passedUntil + 1),
                    "passed by later work after the stated time: " + oldCost);
        }
    }

    /**
     * Guards against large work that is starved by small work: because of its size, a step is
     * passed only by steps whose latest start is less than the stated time after its own.
     */
    @Test
    public void sizeDelaysByABoundedTime() {
        Random random = new Random(18);
        for (int i = 0; i < 20_000; i++) {
            StepDefinition large = tasks(1 + random.nextInt(5_000), 10_000, false);
            StepDefinition small = tasks(1, 10_000, false);
            long age = random.nextInt(5_000);
            DelayCost largeCost = DelayCost.of(candidate("large", SHORT, NOW_MILLIS - age, large));
            DelayCost smallCost = DelayCost.of(candidate("small", SHORT, NOW_MILLIS, small));
            if (age >= DelayCost.MAX_WORK_YIELD_MILLIS) {
                assertTrue(
                        !smallCost.isBefore(largeCost, NOW_MILLIS),
                        "large work is passed by small work that arrived " + age + " ms later");
            }
        }
        assertEquals(DelayCost.workYieldMillis(0), 0);
        assertEquals(DelayCost.workYieldMillis(Long.MAX_VALUE), DelayCost.MAX_WORK_YIELD_MILLIS);
    }

    /** Guards against an order that is no order, which makes sorting fail under load. */
    @Test
    public void comparisonIsTransitive() {
        Random random = new Random(19);
        for (int round = 0; round < 200; round++) {
            List<Placement.Candidate> waiting = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                waiting.add(
                        candidate(
                                "j" + i,
                                random.nextBoolean() ? SHORT : LONG,
                                NOW_MILLIS - random.nextInt(40_000),
                                tasks(
                                        1 + random.nextInt(90),
                                        random.nextInt(9_000),
                                        random.nextBoolean())));
            }
            waiting.sort(DelayCost.order());
            for (int i = 0; i < waiting.size(); i++) {
                for (int k = i + 1; k < waiting.size(); k++) {
                    assertTrue(DelayCost.order().compare(waiting.get(i), waiting.get(k)) < 0);
                }
            }
        }
    }
}
