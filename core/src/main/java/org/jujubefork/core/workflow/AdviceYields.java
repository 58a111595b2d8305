package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The fraction of the workers for which the advice service grants tickets, learned from its
 * answers. It decides how many workers a request names.
 *
 * @param byQueue the answers by queue, because the service treats the steps of a queue alike
 */
public record AdviceYields(PMap<String, Yield> byQueue) {
    /** Nothing is learned yet. */
    public static final AdviceYields NONE = new AdviceYields(HashTreePMap.empty());

    /** Number of workers after which older answers start to lose weight. */
    private static final double MEMORY_WORKERS = 500;

    /** Assumed numbers of named and granted workers of a queue without answers. */
    private static final Yield INITIAL = new Yield(8, 4);

    /**
     * The answers to the requests of a queue.
     *
     * @param named the weighted number of workers that were named
     * @param granted the weighted number of those for which a ticket was granted
     */
    public record Yield(double named, double granted) {
        Yield plus(int moreNamed, int moreGranted) {
            double weight = Math.min(1, MEMORY_WORKERS / (named + moreNamed));
            return new Yield((named + moreNamed) * weight, (granted + moreGranted) * weight);
        }

        double fraction() {
            return granted / named;
        }
    }

    /** Returns a copy after a request of {@code queue} was answered. */
    AdviceYields withAnswer(String queue, int named, int granted) {
        Yield yield = byQueue.getOrDefault(queue, INITIAL);
        return new AdviceYields(byQueue.plus(queue, yield.plus(named, granted)));
    }

    /** Returns the expected fraction of the workers that may run a step of {@code queue}. */
    double fraction(String queue) {
        return byQueue.getOrDefault(queue, INITIAL).fraction();
    }
}
