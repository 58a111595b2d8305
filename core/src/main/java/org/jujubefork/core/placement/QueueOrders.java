package org.jujubefork.core.placement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The queue orders that settings can name. */
public final class QueueOrders {
    /** The team farthest below its weighted share goes first. */
    public static final QueueOrder WEIGHTED_FAIR = QueueOrder.TeamView::weightedShare;

    /** The oldest work goes first; a baseline for comparisons. */
    public static final QueueOrder FIFO = team -> team.headWaitingSinceMillis();

    /**
     * Waiting time that outweighs one whole entitled share in {@link #WAITING_FAIR}. It equals the
     * default of {@code reclaimAfterMillis}, the wait after which running work may be reclaimed.
     */
    static final double WAIT_PER_SHARE_MILLIS = 30_000;

    /** Waiting time counts against distance from the share, for users who weigh waiting most. */
    public static final QueueOrder WAITING_FAIR =
            team -> team.shareRatio() - team.headWaitMillis() / WAIT_PER_SHARE_MILLIS;

    private static final Map<String, QueueOrder> BY_NAME =
            Map.of("weighted-fair", WEIGHTED_FAIR, "fifo", FIFO, "waiting-fair", WAITING_FAIR);

    private QueueOrders() {}

    /** Returns the names that settings may use. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Returns the order {@code name}, if it exists. */
    public static Optional<QueueOrder> named(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }
}
