package org.jujubefork.config.cell;

import java.util.List;

/**
 * The policies that a configuration may name. The policies themselves are part of the scheduler's
 * decisions, so the reader is given their names.
 *
 * @param queueOrders names of queue orders
 * @param placements names of placement policies
 */
public record PolicyNames(List<String> queueOrders, List<String> placements) {
    /** The policies of this version of the scheduler. */
    public static final PolicyNames BUILT_IN =
            new PolicyNames(
                    List.of("weighted-fair", "fifo"),
                    List.of("best-fit", "least-loaded", "first-fit", "spread"));

    /** Copies the lists. */
    public PolicyNames {
        queueOrders = List.copyOf(queueOrders);
        placements = List.copyOf(placements);
    }

    /** Returns the given names. */
    public static PolicyNames of(List<String> queueOrders, List<String> placements) {
        return new PolicyNames(queueOrders, placements);
    }
}
