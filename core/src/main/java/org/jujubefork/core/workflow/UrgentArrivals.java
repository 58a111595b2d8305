package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * The short urgent work that has arrived within the last {@link #WINDOW_MILLIS}. Running tasks free
 * their capacity only after seconds, so work with less slack than that finds room only if some
 * capacity is kept free. Jobs over the share of their team are excluded; otherwise a burst of one
 * team would enlarge the reserve at the expense of the others.
 *
 * @param cpuMillis the CPU that the tasks of this work occupy, in millicores, by service and by
 *     priority of the queue
 */
record UrgentArrivals(Map<String, Map<Integer, Long>> cpuMillis) {
    /** Period over which arrivals are counted; a job of one second is still known at its end. */
    static final long WINDOW_MILLIS = 1_000;

    /** A job that can wait no longer than this is urgent. */
    static final double MAX_URGENT_SLACK_MILLIS = 1_000;

    /** A step that can wait longer than this leaves the reserve to urgent work. */
    static final double AMPLE_SLACK_MILLIS = 2_000;

    /**
     * The reserve holds the arrivals of half the window. Within that time other tasks end and free
     * capacity, which restores the reserve.
     */
    private static final double RESERVED_FRACTION_OF_ARRIVALS = 0.5;

    /** Limits the capacity that a burst of urgent work keeps from other work. */
    private static final double MAX_FREE_FRACTION = 0.08;

    /** Copies the map. */
    UrgentArrivals {
        cpuMillis = Map.copyOf(cpuMillis);
    }

    static UrgentArrivals of(WorkflowState state) {
        Map<String, Map<Integer, Long>> cpuMillis = new HashMap<>();
        for (Job job : state.jobs().values()) {
            Optional<Queue> queue =
                    state.now() - job.acceptedAt() <= WINDOW_MILLIS
                            ? state.queueOf(job)
                            : Optional.empty();
            if (queue.isPresent()
                    && Urgency.initialSlackMillis(state, job.definition(), queue.get())
                            <= MAX_URGENT_SLACK_MILLIS
                    && state.policies().share().isWithinShare(state, job)) {
                cpuMillis
                        .computeIfAbsent(queue.get().service(), s -> new HashMap<>())
                        .merge(queue.get().priority(), cpuMillis(job), Long::sum);
            }
        }
        return new UrgentArrivals(cpuMillis);
    }

    private static long cpuMillis(Job job) {
        return job.definition().steps().stream()
                .mapToLong(s -> s.taskCount() * s.chargedCapacity().cpuMillis())
                .sum();
    }

    /**
     * Returns the fraction of the capacity that {@code candidate} leaves to more urgent queues; 0
     * unless it has ample slack. A gang does not yield, because it has to collect many workers
     * before its slack is used up.
     */
    static double minFreeFraction(
            Candidate candidate, Supplier<UrgentArrivals> arrivals, long capacityMillicores) {
        boolean yields =
                Double.isFinite(candidate.standing().slackMillis())
                        && candidate.standing().slackMillis() > AMPLE_SLACK_MILLIS
                        && !candidate.definition().gang()
                        && candidate.queue().priority() > 0
                        && capacityMillicores > 0;
        if (!yields) {
            return 0;
        }
        double urgent = arrivals.get().moreUrgentThan(candidate.queue());
        return Math.min(
                MAX_FREE_FRACTION, RESERVED_FRACTION_OF_ARRIVALS * urgent / capacityMillicores);
    }

    /** Returns the CPU of the arrivals in queues that are more urgent, in millicores. */
    private long moreUrgentThan(Queue queue) {
        return cpuMillis.getOrDefault(queue.service(), Map.of()).entrySet().stream()
                .filter(e -> e.getKey() < queue.priority())
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
