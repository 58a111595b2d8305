package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The workers that have stopped answering the leader, with all runs that may be active on them.
 *
 * <p>The leader keeps this record in the store and assigns nothing to a recorded worker until a
 * commit has removed it; tasks that were assigned before are in the record. A new leader therefore
 * knows the runs of these workers without reaching them, and work that does not run there need not
 * wait until their leases expire.
 *
 * @param term the term of the leader that wrote the record; a record of any other than the previous
 *     term may be incomplete
 * @param runs the number of the newest run of each task that may be active, by worker
 */
public record SilentWorkers(long term, PMap<String, PMap<TaskKey, Long>> runs) {
    /** No worker is silent. */
    public static final SilentWorkers NONE = new SilentWorkers(0, HashTreePMap.empty());

    /** Returns the workers to record now. */
    static SilentWorkers of(WorkflowState state) {
        PMap<String, PMap<TaskKey, Long>> runs = HashTreePMap.empty();
        for (WorkerNode node : state.workers().values()) {
            if (isRecordable(state, node)) {
                runs = runs.plus(node.id(), runsOn(node));
            }
        }
        return new SilentWorkers(state.term(), runs);
    }

    /**
     * Marks the record as changed if it has to be written again, because workers have become silent
     * or answer again.
     */
    static WorkflowTransition updateRecord(WorkflowState state) {
        CommitQueue queue = state.commitQueue();
        PSet<String> silent = of(state).workers();
        boolean isCurrent = silent.equals(queue.newestSilentWorkers());
        return WorkflowTransition.of(
                isCurrent || queue.silentWorkersDirty()
                        ? state
                        : state.with(queue.withSilentWorkersDirty()));
    }

    /** Returns the identifiers of the workers. */
    PSet<String> workers() {
        return HashTreePSet.from(runs.keySet());
    }

    /**
     * Returns whether a worker belongs into the record. All completions that it has not reported
     * must belong to charged runs, and the results of those that it has reported must be stored,
     * because the next leader starts the tasks again whose runs the record does not name.
     */
    private static boolean isRecordable(WorkflowState state, WorkerNode node) {
        WorkerContact contact = node.contact();
        boolean silent = contact.reached() ? node.isSilent(state.now()) : contact.areRunsKnown();
        return silent && contact.areCompletionsKnown() && contact.areCompletionsStored();
    }

    private static PMap<TaskKey, Long> runsOn(WorkerNode node) {
        PMap<TaskKey, Long> runs = HashTreePMap.empty();
        for (TaskKey task : node.charges().keySet()) {
            runs = runs.plus(task, node.charges().get(task).runNumber());
        }
        return runs;
    }
}
