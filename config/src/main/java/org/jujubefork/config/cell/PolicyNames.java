package org.jujubefork.config.cell;

import java.util.List;

/**
 * The names of the policies that a configuration may select. The policies themselves belong to the
 * scheduler; the reader gets only their names.
 *
 * @param queueOrders names of the policies that order the work in a queue
 * @param placements names of the placement policies
 */
public record PolicyNames(List<String> queueOrders, List<String> placements) {
    /** The policies that this version of the scheduler implements. */
    public static final PolicyNames BUILT_IN =
            new PolicyNames(
                    List.of("weighted-fair", "fifo"),
                    List.of("best-fit", "least-loaded", "first-fit", "spread"));

    /** Copies the lists. */
    public PolicyNames {
        queueOrders = List.copyOf(queueOrders);
        placements = List.copyOf(placements);
    }

    /** Returns the names of a set of policies; {@link #BUILT_IN} has those of this version. */
    public static PolicyNames of(List<String> queueOrders, List<String> placements) {
        return new PolicyNames(queueOrders, placements);
    }
}
