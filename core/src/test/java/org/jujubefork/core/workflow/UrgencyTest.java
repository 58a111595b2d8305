package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.Test;

/** Guards against work that is already too late delaying work that is still on time in a burst. */
public final class UrgencyTest {
    private static final CellConfiguration.Queue QUEUE =
            new CellConfiguration.Queue(
                    "q", "h", "/", "s", 0, 3, 3_000, 2, 400, true, Optional.empty());
    private static final CellConfiguration.Queue LESS_URGENT =
            new CellConfiguration.Queue(
                    "l", "h", "/l", "s", 1, 3, 3_000, 2, 400, true, Optional.empty());

    private static final long NOW_MILLIS = 5_000;
    private static final WorkflowState STATE =
            WorkflowState.initial("e0", 1_000).withTime(NOW_MILLIS);

    private static Placement.Candidate candidate(
            String id, CellConfiguration.Queue queue, long acceptedAt, boolean withinShare) {
        return candidate(
                id, queue, acceptedAt, withinShare, TestSteps.step(1, Resources.ZERO, 500));
    }

    private static Placement.Candidate candidate(
            String id,
            CellConfiguration.Queue queue,
            long acceptedAt,
            boolean withinShare,
            StepDefinition step) {
        WorkflowDefinition definition = new WorkflowDefinition("", List.of(step, step), 0, 0, 0);
        Job job =
                Job.submitted(
                                id,
                                queue.name(),
                                "",
                                definition,
                                new Job.Acceptance(1, acceptedAt, 0, withinShare))
                        .withOccurrence(0);
        return new Placement.Candidate(
                new StepKey(id, 0, 0),
                job,
                step,
                StepProgress.of(step),
                queue,
                Urgency.standing(STATE, job, job.occurrences().get(0), queue),
                step.estimateMillis());
    }

    /**
     * The objective of each job is 2 x 500 + 400 ms, because its steps do not depend on each other.
     */
    @Test
    public void onTimeWorkGoesFirst() {
        List<Placement.Candidate> waiting =
                new ArrayList<>(
                        List.of(
                                candidate("hopeless", QUEUE, 0, true),
                                candidate("beyond-share", QUEUE, 4_400, false),
                                candidate("late", QUEUE, 3_000, true),
                                candidate("less-urgent", LESS_URGENT, 4_200, true),
                                candidate("second", QUEUE, 4_500, true),
                                candidate("first", QUEUE, 4_400, true)));
        waiting.sort(Urgency.byUrgency());
        assertEquals(
                waiting.stream().map(c -> c.job().id()).toList(),
                List.of("first", "second", "less-urgent", "late", "beyond-share", "hopeless"));
    }

    /**
     * Guards against preferring a recent job that has too much remaining work to complete in time.
     */
    @Test
    public void rankIncludesRemainingWork() {
        // Job a is 1 s old and has 500 ms of work left, together more than its objective of 1.4 s.
        assertEquals(candidate("a", QUEUE, NOW_MILLIS - 1_000, true).rank(), Urgency.Rank.LATE);
        assertEquals(candidate("b", QUEUE, NOW_MILLIS - 800, true).rank(), Urgency.Rank.ON_TIME);
        assertEquals(candidate("c", QUEUE, NOW_MILLIS - 3_800, true).rank(), Urgency.Rank.TOO_LATE);
    }

    /** Guards against ranks by declared estimates although the durations are known. */
    @Test
    public void rankFollowsLearnedDurations() {
        LearnedDurations learned = LearnedDurations.NONE;
        for (int i = 0; i < QueueDurations.MIN_SAMPLE_COUNT; i++) {
            learned = learned.with(QUEUE.name(), 500, 2_000);
        }
        Job job =
                Job.submitted(
                                "j",
                                QUEUE.name(),
                                "",
                                TestSteps.job(TestSteps.step(1, Resources.ZERO, 500)),
                                new Job.Acceptance(1, NOW_MILLIS - 2_000, 0, true))
                        .withOccurrence(0);
        // The objective is 2 x 2,000 + 400 ms, not 2 x 500 + 400 ms.
        assertEquals(rank(STATE.with(learned), job), Urgency.Rank.LATE);
        WorkflowState withPolicy =
                WorkflowState.initial(
                                "e0",
                                1_000,
                                SchedulingPolicies.named(
                                        "acceptance", "jobs", "learned", "uniform"),
                                Evacuations.NONE)
                        .withTime(NOW_MILLIS);
        assertEquals(rank(withPolicy, job), Urgency.Rank.LATE);
        assertEquals(rank(withPolicy.with(learned), job), Urgency.Rank.ON_TIME);
    }

    private static Urgency.Rank rank(WorkflowState state, Job job) {
        return Urgency.standing(state, job, job.occurrences().get(0), QUEUE).rank();
    }

    /**
     * Guards against a service whose task ends after hours and is not restarted because of its age.
     */
    @Test
    public void servicesAreAlwaysOnTime() {
        Placement.Candidate service =
                candidate(
                        "s",
                        QUEUE,
                        NOW_MILLIS - 3_600_000,
                        true,
                        TestSteps.service(Resources.ZERO));
        assertEquals(service.rank(), Urgency.Rank.ON_TIME);
    }
}
