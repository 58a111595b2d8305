package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.workflow.DurationScenario.Load;
import org.jujubefork.core.workflow.DurationScenario.Result;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Guards against decisions that wrong estimates mislead. Replays the same load with declared and
 * with learned durations.
 */
public final class LearnedDurationsReplayTest {
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

    private static List<Result> run(double loadFactor, double tailFraction, String durations) {
        List<Result> results = new ArrayList<>();
        for (long seed : SEEDS) {
            Result result =
                    DurationScenario.run(new Load(seed, loadFactor, tailFraction, 40), durations);
            Reporter.log(durations + " seed " + seed + ": " + result, true);
            results.add(result);
        }
        return results;
    }

    private static double wrongRankShare(List<Result> results) {
        return results.stream().mapToDouble(Result::wrongRankShare).average().orElseThrow();
    }

    private static double worth(List<Result> results) {
        return results.stream().mapToDouble(Result::worth).average().orElseThrow();
    }

    private static int rejectedWithRoom(List<Result> results) {
        return results.stream().mapToInt(Result::rejectedWithRoom).sum();
    }

    /** Guards against ranks by estimates that are wrong by up to 0.9. */
    @Test
    public void ranksAreRightMoreOftenWithLearnedDurations() {
        List<Result> declared = run(1.2, 0, "declared");
        List<Result> learned = run(1.2, 0, "learned");
        assertTrue(
                wrongRankShare(learned) < wrongRankShare(declared),
                wrongRankShare(learned) + " and declared " + wrongRankShare(declared));
        assertTrue(
                worth(learned) >= worth(declared),
                worth(learned) + ", declared " + worth(declared));
        assertEquals(rejectedWithRoom(learned), 0, "rejected while workers are free");
    }

    /** Guards against a tail that makes the forecast reject much more, or accept without limit. */
    @Test
    public void longTasksDoNotMisleadAdmission() {
        List<Result> declared = run(1.2, 0.03, "declared");
        List<Result> learned = run(1.2, 0.03, "learned");
        assertTrue(
                wrongRankShare(learned) < wrongRankShare(declared),
                wrongRankShare(learned) + " and declared " + wrongRankShare(declared));
        assertTrue(
                worth(learned) >= worth(declared),
                worth(learned) + ", declared " + worth(declared));
        assertEquals(rejectedWithRoom(learned), 0, "rejected while workers are free");
    }

    /** Guards against rejections in a cell whose capacity is sufficient. */
    @Test
    public void nothingIsRejectedWithEnoughCapacity() {
        for (Result result : run(0.5, 0.03, "learned")) {
            assertEquals(result.rejected(), 0, result.toString());
        }
    }
}
