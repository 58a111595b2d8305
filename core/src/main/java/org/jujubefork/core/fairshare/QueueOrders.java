package org.jujubefork.core.fairshare;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The queue orders that the configuration can select by name. */
public final class QueueOrders {
    /**
     * Serves teams by ascending weighted share: the team farthest below its fair share is first.
     */
    public static final QueueOrder WEIGHTED_FAIR = QueueOrder.TeamView::weightedShare;

    /** Serves the oldest work first; a baseline for comparisons. */
    public static final QueueOrder FIFO = team -> team.headWaitingSinceMillis();

    /**
     * Waiting time that outweighs one full fair share in {@link #WAITING_FAIR}. It equals the
     * default of {@code reclaimAfterMillis}, the wait after which running work may be reclaimed.
     */
    static final double WAIT_PER_SHARE_MILLIS = 30_000;

    /**
     * Ranks by the ratio of usage to fair share, reduced by the waiting time; for users to whom
     * waiting time matters most.
     */
    public static final QueueOrder WAITING_FAIR =
            team -> team.shareRatio() - team.headWaitMillis() / WAIT_PER_SHARE_MILLIS;

    private static final Map<String, QueueOrder> BY_NAME =
            Map.of("weighted-fair", WEIGHTED_FAIR, "fifo", FIFO, "waiting-fair", WAITING_FAIR);

    private QueueOrders() {}

    /** Returns the names that the configuration may use. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Returns the order called {@code name}; empty if there is none. */
    public static Optional<QueueOrder> named(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }
}
