package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The present incarnations of the workers of a {@link LeaderFixture}. */
final class FixtureIncarnations {
    static final long FIRST = 7;

    private final Map<String, Long> born = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    long of(String worker) {
        return born.getOrDefault(worker, FIRST);
    }

    void restart(String worker, long now) {
        born.put(worker, of(worker) + 1);
        startedAt.put(worker, now);
    }

    /** Records the incarnation that a test has reported in an answer of its own. */
    void answered(WorkflowEvent.LeaseRenewalAnswered answer) {
        born.put(answer.worker(), answer.report().incarnation());
    }

    /** Returns the time of the worker's clock. */
    long clockMillis(String worker, long now) {
        return now - startedAt.getOrDefault(worker, 0L);
    }

    /** Returns the worker list that {@code state} knows, as the present incarnations write it. */
    List<WorkerNode.Listing> listed(WorkflowState state) {
        return present(
                state.workers().values().stream()
                        .filter(WorkerNode::listed)
                        .map(WorkerNode::listing));
    }

    /** Returns {@code listings} as the present incarnations write them. */
    List<WorkerNode.Listing> present(Stream<WorkerNode.Listing> listings) {
        return listings.map(w -> w.withBorn(of(w.id()))).toList();
    }
}
