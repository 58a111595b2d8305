package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Guards against predictions that are worse than the estimates which the callers declare. */
public final class LearnedDurationsTest {
    private static final String QUEUE = "q";
    private static final int TAIL_FACTOR = 7;

    /** Times and estimates of a queue; the estimate is wrong by up to {@code error}. */
    private static final class Load {
        private final SplittableRandom random;
        private final double meanMillis;
        private final double error;
        private final double tailFraction;

        Load(long seed, double meanMillis, double error, double tailFraction) {
            this.random = new SplittableRandom(seed);
            this.meanMillis = meanMillis;
            this.error = error;
            this.tailFraction = tailFraction;
        }

        long typicalMillis() {
            return Math.round(meanMillis * (0.5 + random.nextDouble()));
        }

        long estimateMillis(long typicalMillis) {
            double factor = 1 - error + 2 * error * random.nextDouble();
            return Math.max(1, Math.round(typicalMillis * factor));
        }

        long actualMillis(long typicalMillis) {
            double speed = 0.8 + 0.45 * random.nextDouble();
            int factor = random.nextDouble() < tailFraction ? TAIL_FACTOR : 1;
            return Math.max(1, Math.round(typicalMillis * factor / speed));
        }

        LearnedDurations learn(LearnedDurations from, int count) {
            LearnedDurations learned = from;
            for (int i = 0; i < count; i++) {
                long typicalMillis = typicalMillis();
                learned =
                        learned.with(
                                QUEUE, estimateMillis(typicalMillis), actualMillis(typicalMillis));
            }
            return learned;
        }
    }

    /** Returns the mean factor between the typical and the predicted times of 1,000 tasks. */
    private static double meanErrorFactor(LearnedDurations learned, Load load) {
        double sum = 0;
        for (int i = 0; i < 1_000; i++) {
            long typicalMillis = load.typicalMillis();
            long expected = learned.expectedMillis(QUEUE, load.estimateMillis(typicalMillis));
            sum += Math.abs(Math.log((double) expected / typicalMillis));
        }
        return Math.exp(sum / 1_000);
    }

    /** Guards against believing estimates that are wrong by up to 0.9. */
    @Test
    public void poorEstimatesAreCorrected() {
        for (long seed = 1; seed <= 20; seed++) {
            LearnedDurations learned =
                    new Load(seed, 1_000, 0.9, 0.03).learn(LearnedDurations.NONE, 96);
            double declared =
                    meanErrorFactor(LearnedDurations.NONE, new Load(-seed, 1_000, 0.9, 0));
            double corrected = meanErrorFactor(learned, new Load(-seed, 1_000, 0.9, 0));
            assertTrue(
                    corrected < 1.45 && corrected < declared,
                    "seed " + seed + ": " + corrected + " and declared " + declared);
        }
    }

    /** Guards against discarding estimates that predict well. */
    @Test
    public void goodEstimatesAreUsed() {
        for (long seed = 1; seed <= 20; seed++) {
            LearnedDurations learned =
                    new Load(seed, 1_000, 0.2, 0.03).learn(LearnedDurations.NONE, 96);
            double corrected = meanErrorFactor(learned, new Load(-seed, 1_000, 0.2, 0));
            assertTrue(corrected < 1.2, "seed " + seed + ": " + corrected);
            assertTrue(learned.estimateWeights().get(QUEUE) > 0.5, "seed " + seed);
        }
    }

    /** Guards against a few very long tasks that make all others look long. */
    @Test
    public void typicalTimeIgnoresTheTail() {
        for (long seed = 1; seed <= 20; seed++) {
            LearnedDurations learned =
                    new Load(seed, 1_000, 0.2, 0.05).learn(LearnedDurations.NONE, 96);
            long expected = learned.expectedMillis(QUEUE, 1_000);
            assertTrue(Math.abs(expected - 1_000) < 200, "seed " + seed + ": " + expected);
        }
    }

    /** Guards against a mean that leaves out the work of the long tasks. */
    @Test
    public void meanIncludesTheTail() {
        double sum = 0;
        for (long seed = 1; seed <= 20; seed++) {
            sum +=
                    new Load(seed, 1_000, 0.2, 0.03)
                            .learn(LearnedDurations.NONE, 96)
                            .meanRatio(QUEUE);
        }
        // 1 + 0.03 x 6 for the tail.
        assertEquals(sum / 20, 1.18, 0.1);
    }

    /** Guards against a forecast that expects a task which exceeds its estimate to end at once. */
    @Test
    public void taskThatExceedsItsEstimateRunsOn() {
        LearnedDurations learned = new Load(3, 1_000, 0.2, 0.03).learn(LearnedDurations.NONE, 96);
        assertTrue(
                learned.remainingMillis(QUEUE, 1_000, 2_500) > 500,
                "is expected to end soon after exceeding its estimate twice");
        assertTrue(learned.remainingMillis(QUEUE, 1_000, 100) < 1_100, "short run");
        assertTrue(
                learned.remainingMillis(QUEUE, 1_000, 1_000_000) < 10_000,
                "the remaining time is not bounded");
    }

    /** Guards against a new leader that corrects estimates without evidence. */
    @Test
    public void declaredEstimateIsUsedUntilEnoughSamples() {
        Load load = new Load(1, 1_000, 0.9, 0);
        LearnedDurations learned =
                load.learn(LearnedDurations.NONE, QueueDurations.MIN_SAMPLE_COUNT - 1);
        assertEquals(learned.expectedMillis(QUEUE, 123), 123);
        assertEquals(learned.remainingMillis(QUEUE, 123, 200), -77);
        assertFalse(learned.isLearned(QUEUE));
        assertTrue(load.learn(learned, 1).isLearned(QUEUE));
        assertEquals(load.learn(learned, 50).expectedMillis("other", 123), 123);
    }

    /** Guards against predictions from the past of a queue whose tasks have changed. */
    @Test
    public void changeOfBehaviourIsFollowed() {
        LearnedDurations before = new Load(1, 1_000, 0.9, 0).learn(LearnedDurations.NONE, 200);
        LearnedDurations after = new Load(2, 8_000, 0.9, 0).learn(before, 60);
        long expected = after.expectedMillis(QUEUE, 8_000);
        assertTrue(expected > 5_000 && expected < 12_000, "expected " + expected);
    }

    /** Guards against a division by zero or an objective for jobs that declare no estimate. */
    @Test
    public void estimateOfZeroStaysZero() {
        LearnedDurations learned = new Load(1, 1_000, 0.9, 0).learn(LearnedDurations.NONE, 50);
        assertEquals(learned.expectedMillis(QUEUE, 0), 0);
        assertSame(learned.with(QUEUE, 0, 1_000), learned);
        assertSame(learned.with(QUEUE, 1_000, 0), learned);
    }

    /** Guards against a queue whose estimates are all the same and give no slope. */
    @Test
    public void constantEstimatesAreScaled() {
        LearnedDurations learned = LearnedDurations.NONE;
        for (int i = 0; i < 20; i++) {
            learned = learned.with(QUEUE, 1_000, 2_000);
        }
        assertEquals(learned.expectedMillis(QUEUE, 1_000), 2_000);
        assertEquals(learned.expectedMillis(QUEUE, 500), 1_000);
        assertEquals(learned.factors().get(QUEUE), 2.0, 1e-9);
    }

    /** Guards against samples that are kept without bound. */
    @Test
    public void samplesAreBounded() {
        LearnedDurations learned = new Load(1, 1_000, 0.9, 0).learn(LearnedDurations.NONE, 500);
        assertEquals(learned.queues().get(QUEUE).samples().size(), QueueDurations.MAX_SAMPLE_COUNT);
    }
}
